package measure

// Line is a linear function of a count: Base + Slope × count.
type Line struct{ Base, Slope float64 }

// At returns the value of the function for the count n.
func (l Line) At(n float64) float64 { return l.Base + l.Slope*n }

// Fit returns the least-squares line through points (x, y). Its slope is 0 if all x
// are equal.
func Fit(points [][2]float64) Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p[0]
		sy += p[1]
		sxx += p[0] * p[0]
		sxy += p[0] * p[1]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Base: sy / max(n, 1)}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

// fitLine fits a line to the quantity y of the measurements as a function of the
// count x.
func fitLine[T any](list []T, x, y func(T) float64) Line {
	points := make([][2]float64, 0, len(list))
	for _, v := range list {
		points = append(points, [2]float64{x(v), y(v)})
	}
	return Fit(points)
}
