package scheduler

import "slices"

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// elementOrZero returns the element at an index, or the zero value if the index is out of range.
func elementOrZero[T any](list []T, i int) (element T) {
	if i >= 0 && i < len(list) {
		element = list[i]
	}
	return element
}

// remove deletes the first occurrence of a value, if there is one.
func remove[T comparable](list []T, value T) []T {
	if i := slices.Index(list, value); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
