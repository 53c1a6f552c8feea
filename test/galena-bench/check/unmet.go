package check

import (
	_ "embed" // for unmet.txt
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

//go:embed unmet.txt
var unmetFile string

// parseUnmet reads the list of bounds that are known not to be met, with the
// figure seen when the bound was listed. A line is "deployment; bound; figure";
// empty lines and those that start with # are skipped.
func parseUnmet(text string) (map[string]float64, error) {
	list := make(map[string]float64)
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
		list[parts[0]+"; "+parts[1]] = v
	}
	return list, nil
}
