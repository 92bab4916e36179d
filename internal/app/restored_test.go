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

// A backup of the state folder, made while messages were pending, is restored after all of them have their final
// outcome: the recovery plan reports that before the start, and no charge in it is sent again. A folder that is as its
// previous incarnation left it is trusted.
func TestRestoredFolder(t *testing.T) {
	env := newTestEnv(t)
	env.mu.Lock()
	env.callDuration = 100 * time.Millisecond
	env.mu.Unlock()
	proc := env.startProcess()
	env.waitReady(proc)
	backup := filepath.Join(env.dir, "backup")
	kill := func() {
		_ = proc.Process.Kill()
		<-proc.exited
	}
	plan := func() sender.RecoveryPlan {
		t.Helper()
		cfg, err := config.Load(func(key string) string { return map[string]string{"LB_STATE": env.stateDir()}[key] },
			env.configFile())
		if err != nil {
			t.Fatal(err)
		}
		recoveryPlan, err := sender.PlanRecovery(env.stateDir(), cfg.Name, sender.FolderVerified, cfg.Settings, 3<<20,
			clock.Steady())
		if err != nil {
			t.Fatal(err)
		}
		return recoveryPlan
	}
	stopClients := env.startClients(60)
	time.Sleep(500 * time.Millisecond)
	if err := fleet.Backup(env.stateDir(), backup); err != nil {
		t.Fatal(err)
	}
	kill() // this folder is valid
	if recoveryPlan := plan(); recoveryPlan.Problem != "" || recoveryPlan.Counts[provenance.DispositionContinue] == 0 {
		t.Fatalf("%+v", recoveryPlan)
	}
	proc = env.startProcess()
	env.waitReady(proc)
	if _, text := proc.callControl("GET", "/api/telemetry", ""); strings.Contains(text, `case="old"`) {
		t.Fatalf("an unchanged folder is treated as a restored one\n%s", proc.stderr)
	}
	stopClients()
	env.waitSettled()
	kill()
	if err := fleet.Restore(backup, env.stateDir()); err != nil {
		t.Fatal(err)
	}
	recoveryPlan := plan()
	if !strings.Contains(recoveryPlan.Problem, "copies") || recoveryPlan.Counts[provenance.DispositionAmbiguous] == 0 {
		t.Fatalf("%+v", recoveryPlan)
	}
	proc = env.startProcess()
	env.waitReady(proc)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		_, text := proc.callControl("GET", "/api/telemetry", "")
		if strings.Contains(text, `case="old"`) && strings.Contains(text, "\nlb_life_full 1\n") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s\n%s", text, proc.stderr)
		}
	}
	env.waitSettled()
	kill()
	if recoveryPlan := plan(); recoveryPlan.Problem != "" { // the note of the previous incarnation matches this folder
		t.Fatal(recoveryPlan.Problem)
	}
	if err := os.Remove(filepath.Join(env.stateDir(), "life")); err != nil {
		t.Fatal(err)
	}
	if recoveryPlan := plan(); recoveryPlan.Problem == "" {
		t.Fatal("the loss of the note was not detected")
	}
}
