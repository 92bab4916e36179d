// Package portablemath has elementary functions whose results have the same bits on every architecture. Those of the
// standard library differ in the last bits where an architecture has its own implementation, as of these functions, but
// not of math.Expm1 and math.Log1p. Decisions that are compared with recorded ones, or that members of a group must
// agree on, use this package.
package portablemath

import "math"

// Exp returns e**x.
func Exp(x float64) float64 {
	if x < 0 {
		return 1 / (1 + math.Expm1(-x)) // the sum below would cancel
	}
	return 1 + math.Expm1(x)
}

// Exp2 returns 2**x. It is exact if x is an integer.
func Exp2(x float64) float64 {
	if math.IsInf(x, 0) || math.IsNaN(x) {
		return Exp(x)
	}
	whole := math.Round(x)
	return math.Ldexp(Exp((x-whole)*math.Ln2), int(max(math.MinInt32, min(math.MaxInt32, whole))))
}

// Log returns the natural logarithm of x.
func Log(x float64) float64 {
	if x >= math.Sqrt2/2 && x <= math.Sqrt2 || x <= 0 || math.IsInf(x, 1) || math.IsNaN(x) {
		return math.Log1p(x - 1)
	}
	fraction, exponent := normalize(x)
	return float64(float64(exponent)*math.Ln2) + math.Log1p(fraction-1)
}

// Log2 returns the binary logarithm of x. It is exact if x is a power of two.
func Log2(x float64) float64 {
	if x <= 0 || math.IsInf(x, 1) || math.IsNaN(x) {
		return Log(x)
	}
	fraction, exponent := normalize(x)
	return float64(exponent) + float64(math.Log1p(fraction-1)*(1/math.Ln2))
}

// Log10 returns the decimal logarithm of x.
func Log10(x float64) float64 { return Log2(x) * (math.Ln2 / math.Ln10) }

// normalize returns x as fraction * 2**exponent, with a fraction from the square root of 1/2 to that of 2. x must be
// positive and finite.
func normalize(x float64) (fraction float64, exponent int) {
	fraction, exponent = math.Frexp(x)
	if fraction < math.Sqrt2/2 {
		return 2 * fraction, exponent - 1
	}
	return fraction, exponent
}
