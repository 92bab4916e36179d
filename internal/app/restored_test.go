package app

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/config"
	"brackendale/internal/provenance"
	"brackendale/internal/testing/fleet"
	"brackendale/sender"
)

// A state folder that was copied while messages were pending in it is put back after all of them have ended: the plan
// tells so before the start, and no charge in it is sent again. A folder that is as its last incarnation left it is
// trusted.
func TestRestoredFolder(t *testing.T) {
	o := newOffice(t)
	o.mu.Lock()
	o.slow = 100 * time.Millisecond
	o.mu.Unlock()
	p := o.start()
	o.ready(p)
	backup := filepath.Join(o.dir, "backup")
	kill := func() {
		_ = p.Process.Kill()
		<-p.ended
	}
	plan := func() sender.RecoveryPlan {
		t.Helper()
		cfg, err := config.Load(func(key string) string { return map[string]string{"LB_STATE": o.state()}[key] }, o.site())
		if err != nil {
			t.Fatal(err)
		}
		x, err := sender.PlanRecovery(o.state(), cfg.Name, sender.FolderVerified, cfg.Settings, 3<<20, clock.Steady())
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	end := o.crowd(60)
	time.Sleep(500 * time.Millisecond)
	if err := fleet.Backup(o.state(), backup); err != nil {
		t.Fatal(err)
	}
	kill() // nothing wrong with this folder
	if x := plan(); x.Problem != "" || x.Counts[provenance.DispositionContinue] == 0 {
		t.Fatalf("%+v", x)
	}
	p = o.start()
	o.ready(p)
	if _, text := p.ask("GET", "/api/telemetry", ""); strings.Contains(text, `case="old"`) {
		t.Fatalf("a folder as it was left is old\n%s", p.said)
	}
	end()
	o.settled()
	kill()
	if err := fleet.Restore(backup, o.state()); err != nil {
		t.Fatal(err)
	}
	x := plan()
	if !strings.Contains(x.Problem, "copies") || x.Counts[provenance.DispositionAmbiguous] == 0 {
		t.Fatalf("%+v", x)
	}
	p = o.start()
	o.ready(p)
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		_, text := p.ask("GET", "/api/telemetry", "")
		if strings.Contains(text, `case="old"`) && strings.Contains(text, "\nlb_life_full 1\n") {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("%s\n%s", text, p.said)
		}
	}
	o.settled()
	kill()
	if x := plan(); x.Problem != "" { // the next incarnation's note is of this place
		t.Fatal(x.Problem)
	}
	if err := os.Remove(filepath.Join(o.state(), "life")); err != nil {
		t.Fatal(err)
	}
	if x := plan(); x.Problem == "" {
		t.Fatal("a lost note was not missed")
	}
}
