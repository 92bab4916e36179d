package soak

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ParseSeeds returns the seeds of a range in the form "from-to", both included. If text is empty, it returns fallback.
func ParseSeeds(text string, fallback ...int64) (seeds []int64, err error) {
	if text == "" {
		return fallback, nil
	}
	from, to, _ := strings.Cut(text, "-")
	first, err := strconv.ParseInt(from, 10, 64)
	last, lastErr := strconv.ParseInt(to, 10, 64)
	if err := errors.Join(err, lastErr); err != nil {
		return nil, fmt.Errorf("the seeds %q are not from-to: %w", text, err)
	}
	for ; first <= last; first++ {
		seeds = append(seeds, first)
	}
	return seeds, nil
}
