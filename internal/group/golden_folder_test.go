package group

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/lease"
)

// storedFolder is a golden folder that this program wrote as the only voter of a group: member.json,
// the number of quota members, a snapshot, and a log of which the snapshot covers a part. With
// -update-golden it is created again; its bytes then differ in times and ids.
const storedFolder = "folder"

// rebuildOnce limits an update to creating the stored folder once.
var rebuildOnce sync.Once

// onlyVoter is the list of voters of the stored folder's group.
var onlyVoter = map[string]string{"a": "10.0.0.1:7000"}

// makeFolder starts a group with one member in dir and writes the golden entries.
func makeFolder(t *testing.T, dir string) {
	t.Helper()
	stored, err := openFolder(dir, "a", onlyVoter)
	if err != nil {
		t.Fatal(err)
	}
	defer stored.close()
	stored.FirstStartVoters = voterNames(onlyVoter)
	g := goldenMember(t, "a", onlyVoter)
	bolt, err := g.bootstrap(stored)
	if err != nil {
		t.Fatal(err)
	}
	node := startNode(t, g, func() (*raftNode, error) { return g.startNode(bolt, dir) })
	defer node.stop()
	for i, entry := range goldenEntries() {
		if result, err := node.propose(entry, 10*time.Second); err != nil || result.Reason != "" {
			t.Fatalf("entry %d: %s, %v", i, result.Reason, err)
		}
		if i+1 == inSnapshot {
			if err := node.raft.Snapshot().Error(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := writeQuotaMembers(dir, 17); err != nil {
		t.Fatal(err)
	}
}

// startNode starts a log and waits until its member leads and has applied all entries.
func startNode(t *testing.T, g *Group, start func() (*raftNode, error)) *raftNode {
	t.Helper()
	node, err := start()
	if err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(30 * time.Second); !node.leads(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			node.stop()
			t.Fatalf("%s does not lead", g.opt.Name)
		}
	}
	if err := node.raft.Barrier(30 * time.Second).Error(); err != nil {
		node.stop()
		t.Fatal(err)
	}
	return node
}

// copyStored copies the stored folder, so that a test may open and change it.
func copyStored(t *testing.T) string {
	t.Helper()
	if *updateGolden {
		rebuildOnce.Do(func() {
			if err := os.RemoveAll(goldenPath(storedFolder)); err != nil {
				t.Fatal(err)
			}
			makeFolder(t, goldenPath(storedFolder))
		})
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(goldenPath(storedFolder))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestGoldenFolder opens the stored folder as a member does at its start, and compares its contents.
func TestGoldenFolder(t *testing.T) {
	dir := copyStored(t)
	stored, err := openFolder(dir, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stored.close()
	if stored.Incarnation != 2 || !stored.Voter || !stored.Started || stored.Forced ||
		stored.FirstStartVoters != nil || stored.Name != "a" {
		t.Errorf("member.json read as %+v", stored)
	}
	if n := readQuotaMembers(dir); n != 17 {
		t.Errorf("%d quota members", n)
	}
	bolt, err := openBolt(dir)
	if err != nil {
		t.Fatal(err)
	}
	position, err := readLogPosition(bolt, dir)
	if err != nil || !position.Exists || position.Term == 0 || position.Index <= uint64(len(goldenEntries())) {
		t.Errorf("the log position is %+v, %v", position, err)
	}
	compareGolden(t, "log.jsonl", commandData(t, bolt)) // byte for byte
	g := goldenMember(t, "a", onlyVoter)
	node := startNode(t, g, func() (*raftNode, error) { return g.startNode(bolt, dir) })
	defer node.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reflect.DeepEqual(g.table, goldenTable()) {
		raw, _ := json.Marshal(g.table)
		t.Errorf("the table that is read from the folder is %s", raw)
	}
}

// TestGoldenFolderSnapshot restores the stored snapshot without the log, and writes it again.
func TestGoldenFolderSnapshot(t *testing.T) {
	dir := copyStored(t)
	paths, err := filepath.Glob(filepath.Join(dir, "raft", "snapshots", "*", "state.bin"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("snapshots %v, %v", paths, err)
	}
	raw, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	want, got := lease.NewTable(), lease.NewTable()
	for _, e := range goldenEntries()[:inSnapshot] {
		want.Apply(e)
	}
	readStrict(t, raw, got)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the snapshot contains %s", raw)
	}
	var rewritten memorySink
	if err := (tableSnapshot{got}).Persist(&rewritten); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(rewritten.Bytes(), raw) {
		t.Errorf("written again: %s", rewritten.Bytes())
	}
}

// TestGoldenFolderFiles compares the names of the files in the stored folder and in a new one.
func TestGoldenFolderFiles(t *testing.T) {
	stored := copyStored(t)
	created := t.TempDir()
	makeFolder(t, created)
	for _, dir := range []string{stored, created} {
		compareGolden(t, "files.txt", []byte(strings.Join(fileNames(t, dir), "\n")+"\n"))
	}
}

// fileNames returns the paths of the files below dir, with the time in the name of a snapshot masked.
func fileNames(t *testing.T, dir string) (list []string) {
	t.Helper()
	snapshot := regexp.MustCompile(`snapshots/\d+-\d+-\d+/`)
	err := fs.WalkDir(os.DirFS(dir), ".", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			list = append(list, snapshot.ReplaceAllString(path, "snapshots/term-index-ms/"))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(list)
	return list
}

// TestGoldenFolderRecovers recovers a group from the stored folder: its epochs must be higher than any
// that can have been granted before.
func TestGoldenFolderRecovers(t *testing.T) {
	dir := copyStored(t)
	epoch, err := Recover(dir, "a", onlyVoter)
	if err != nil || epoch != recoverEpochStep+1 {
		t.Fatalf("epoch %d, %v", epoch, err)
	}
	bolt, err := openBolt(dir)
	if err != nil {
		t.Fatal(err)
	}
	g := goldenMember(t, "a", onlyVoter)
	node := startNode(t, g, func() (*raftNode, error) { return g.startNode(bolt, dir) })
	defer node.stop()
	want := goldenTable()
	want.Epoch = recoverEpochStep
	g.mu.Lock()
	defer g.mu.Unlock()
	if !reflect.DeepEqual(g.table, want) {
		t.Errorf("the recovered table is %+v", g.table)
	}
}
