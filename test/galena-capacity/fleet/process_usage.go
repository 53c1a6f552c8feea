package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of processor times in /proc/<pid>/stat.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process since its start.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// RSS is the resident memory in bytes, AnonRSS the part of it that is not backed by
	// files, and PeakRSS the largest RSS so far.
	RSS, AnonRSS, PeakRSS int64
	// IO is the number of bytes read and written by system calls, on sockets
	// and files.
	IO int64
}

// ReadUsage reads the usage of a running process.
func ReadUsage(pid int) (Usage, error) {
	u := Usage{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, eris.Wrap(err, "read processor time")
	}
	// The program name, which is in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return u, eris.Errorf("stat of process %d has %d fields", pid, len(fields))
	}
	u.CPU = time.Duration(parseNumber(fields[userField])+parseNumber(fields[systemField])) * clockTick
	status, err := readCounters(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	io, err := readCounters(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	const kilobyte = 1024
	u.RSS, u.AnonRSS, u.PeakRSS = status["VmRSS"]*kilobyte, status["RssAnon"]*kilobyte, status["VmHWM"]*kilobyte
	u.IO = io["rchar"] + io["wchar"]
	return u, nil
}

// readCounters parses a file with lines of the form "key: number ...".
func readCounters(path string) (map[string]int64, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read usage")
	}
	out := make(map[string]int64)
	for line := range strings.Lines(string(b)) {
		key, value, _ := strings.Cut(line, ":")
		if f := strings.Fields(value); len(f) > 0 {
			out[key] = parseNumber(f[0])
		}
	}
	return out, nil
}

// parseNumber returns 0 for a value that is not a number.
func parseNumber(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
