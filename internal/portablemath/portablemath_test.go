package portablemath

import (
	"fmt"
	"math"
	"testing"
)

// relativeError bounds the difference to the standard library: a few units in the last place.
const relativeError = 2e-15

func TestAgainstStandardLibrary(t *testing.T) {
	near := func(name string, x, got, want float64) {
		t.Helper()
		same := got == want || math.IsNaN(got) && math.IsNaN(want)
		if !same && !(math.Abs(got-want) <= relativeError*max(math.Abs(want), 0x1p-1000)) && !(name == "Log2" &&
			math.Abs(got-want) <= relativeError) { // near 1, that of the library is exact to an absolute error alone
			t.Errorf("%s(%v): got %v, want %v", name, x, got, want)
		}
	}
	special := []float64{0, 1, -1, math.Inf(1), math.Inf(-1), math.NaN(), 800, -800, 0x1p-1070, math.MaxFloat64, 0.5, 2}
	for i := -20_000; i <= 20_000; i++ {
		special = append(special, float64(i)*0.0173)
	}
	for _, x := range special {
		near("Exp", x, Exp(x), math.Exp(x))
		if math.Abs(x) < 600 || math.IsInf(x, 0) || math.IsNaN(x) { // the argument is not rounded as in the library
			near("Exp2", x, Exp2(x), math.Exp2(x))
		}
		for _, argument := range []float64{x, math.Exp(x)} {
			near("Log", argument, Log(argument), math.Log(argument))
			near("Log2", argument, Log2(argument), math.Log2(argument))
		}
	}
	for exponent := -300; exponent <= 300; exponent++ {
		if x := math.Ldexp(1, exponent); Exp2(float64(exponent)) != x || Log2(x) != float64(exponent) {
			t.Errorf("2**%d is not exact", exponent)
		}
		if x := math.Pow10(exponent); math.Abs(Log10(x)-float64(exponent)) > 1e-13 {
			t.Errorf("Log10(%v) = %v", x, Log10(x))
		}
	}
}

// The same decision differs between two architectures in its last bits.
func TestSameBitsOnEveryArchitecture(t *testing.T) {
	sum := uint64(0)
	for i := 1; i < 100_000; i++ {
		x := float64(i) * 0.000731
		for _, value := range []float64{Exp(x), Exp(-x), Exp2(-x), Log(x), Log2(x), Log10(x)} {
			sum = sum*1099511628211 ^ math.Float64bits(value)
		}
	}
	const want = "c49c7a063cbfdd3d"
	if got := fmt.Sprintf("%016x", sum); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
