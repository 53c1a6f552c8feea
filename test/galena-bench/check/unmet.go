package check

import (
	_ "embed" // for unmet.txt
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

//go:embed unmet.txt
var unmetFile string

// parseUnmet reads the list of bounds that are known not to be met and returns
// the figure measured when each was listed, by "deployment; bound". A line has
// the form "deployment; bound; figure"; empty lines and lines that start with #
// are skipped.
func parseUnmet(text string) (map[string]float64, error) {
	knownUnmet := make(map[string]float64)
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, "; ")
		if len(parts) != 3 {
			return nil, eris.Errorf("unmet.txt: %q is not of the form deployment; bound; figure", line)
		}
		v, err := strconv.ParseFloat(parts[2], 64)
		if err != nil {
			return nil, eris.Wrapf(err, "unmet.txt: figure of %q", line)
		}
		knownUnmet[parts[0]+"; "+parts[1]] = v
	}
	return knownUnmet, nil
}
