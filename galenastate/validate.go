package galenastate

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/galenahead/galenahead"
)

// Limits of commands.
const (
	// maxTextBytes is the maximum length of a setting, address or reason.
	maxTextBytes = 1024
	// maxCallers is the largest number of caller shares of a service.
	maxCallers = 256
	// maxBudgetPPM is the budget that lets all requests fail, in parts per
	// million.
	maxBudgetPPM = 1_000_000
	// maxDurationMS is the longest deadline or settling time, in milliseconds.
	maxDurationMS = 24 * 3600 * 1000
	// maxSize bounds the cores, MB and accelerators of one VM or job, and the
	// counts in a service.
	maxSize = 1 << 30
	// maxWeight bounds buffer_cost and rollout_time.
	maxWeight = 1000
	// largestMaxAtOnce bounds max_at_once.
	largestMaxAtOnce = 1000
)

// Settings that the state machine interprets. Other keys are not restricted.
const (
	// SettingBufferCost is the weight of idle VMs held in reserve.
	SettingBufferCost = "buffer_cost"
	// SettingRolloutTime is the weight of the duration of waves.
	SettingRolloutTime = "rollout_time"
)

func describeMax[N ~int64 | ~uint64](n N) string {
	return fmt.Sprintf("at most %d", n)
}

func checkCommand(c *Command) error {
	if c.Change.Kind() == "" {
		return invalid("change", "none or several", "exactly one change")
	}
	if c.TimeMS < 0 {
		return invalid("time_ms", c.TimeMS, "at least 0")
	}
	if c.Change.FromDriver() {
		return nil
	}
	if err := checkName("request_id", c.RequestID); err != nil {
		return err
	}
	return checkName("operator", c.Operator)
}

// checkName rejects a name unless it is 1 to MaxIDLength bytes of printable text.
func checkName[S ~string](field string, name S) error {
	s := string(name)
	if s == "" || len(s) > galenahead.MaxIDLength || !printable(s) {
		return invalid(field, s, fmt.Sprintf("1 to %d bytes of printable text", galenahead.MaxIDLength))
	}
	return nil
}

func checkText(field, s string) error {
	if len(s) > maxTextBytes || !printable(s) {
		return invalid(field, s, fmt.Sprintf("at most %d bytes of printable text", maxTextBytes))
	}
	return nil
}

func printable(s string) bool {
	if !utf8.ValidString(s) {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}

func checkRange[N ~int32 | ~int64](field string, n, low, high N) error {
	if n < low || n > high {
		return invalid(field, n, fmt.Sprintf("%d to %d", low, high))
	}
	return nil
}

func checkSize(cores, memoryMB, accelerators int32) error {
	if err := checkRange("cores", cores, 0, maxSize); err != nil {
		return err
	}
	if err := checkRange("memory_mb", memoryMB, 0, maxSize); err != nil {
		return err
	}
	return checkRange("accelerators", accelerators, 0, maxSize)
}

func checkQuota(q Size) error {
	for _, dimension := range []struct {
		field string
		n     int64
	}{{"quota.cores", q.Cores}, {"quota.memory_mb", q.MemoryMB}, {"quota.accelerators", q.Accelerators}} {
		if err := checkRange(dimension.field, dimension.n, 0, maxSize<<10); err != nil {
			return err
		}
	}
	return nil
}

func checkService(s *Service) error {
	if err := checkName("name", s.Name); err != nil {
		return err
	}
	if err := checkRange("budget_ppm", s.BudgetPPM, 0, maxBudgetPPM); err != nil {
		return err
	}
	if err := checkRange("slots", s.Slots, 0, maxSize); err != nil {
		return err
	}
	if err := checkRange("connections", s.Connections, 0, maxSize); err != nil {
		return err
	}
	if err := checkRange("deadline_ms", s.DeadlineMS, 0, maxDurationMS); err != nil {
		return err
	}
	return checkCallers(s.Callers)
}

func checkCallers(callers []CallerShare) error {
	if len(callers) > maxCallers {
		return invalid("callers", len(callers), fmt.Sprintf("at most %d callers", maxCallers))
	}
	seen := make(map[galenahead.CallerName]bool, len(callers))
	for _, c := range callers {
		if err := checkName("callers.caller", c.Caller); err != nil {
			return err
		}
		if seen[c.Caller] {
			return invalid("callers.caller", c.Caller, "each caller once")
		}
		seen[c.Caller] = true
		if err := checkRange("callers.share", c.Share, 1, maxSize); err != nil {
			return err
		}
	}
	return nil
}

func checkSetting(s *Setting) error {
	if err := checkName("key", s.Key); err != nil {
		return err
	}
	if err := checkText("value", s.Value); err != nil {
		return err
	}
	if s.Key != SettingBufferCost && s.Key != SettingRolloutTime {
		return nil
	}
	w, err := strconv.ParseFloat(s.Value, 64)
	if err != nil || !(w >= 0 && w <= maxWeight) {
		return invalid(s.Key, s.Value, fmt.Sprintf("a number from 0 to %d", maxWeight))
	}
	return nil
}
