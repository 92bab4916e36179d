package settingschange

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"brackendale/internal/testing/soak"
)

// No charge runs twice and every message has one true final answer, whatever changes in the settings between its
// acceptance and its end.
func TestSettingsChange(t *testing.T) {
	all := make([]int64, 48)
	for i := range all {
		all[i] = int64(i + 1)
	}
	seeds, err := soak.ParseSeeds(os.Getenv("BRACKENDALE_SOAK"), all...)
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			report, err := Play(seed, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d messages accepted, %d of them submitted again, %d ran more than once", report.Accepted, report.Again,
				report.Repeated)
			if len(report.Broken) > 0 {
				t.Errorf("%s\n%s", strings.Join(report.Broken, "\n"), strings.Join(report.History, "\n"))
			}
		})
	}
}
