package cluster_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newSeeds opens the listeners of three seeds and returns their names, the lowest first.
func newSeeds(t *testing.T) (in *installation, names []string) {
	in = &installation{t: t, list: &fakeTargetList{}, sockets: make(map[string]net.Listener), processes: make(map[string]*process)}
	for n := range 3 {
		name := fmt.Sprintf("control-%d", n)
		in.listen(name, "127.0.0.1:0")
		in.seeds = append(in.seeds, in.sockets[name].Addr().String())
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return slices.Compare([]byte(in.sockets[a].Addr().String()), []byte(in.sockets[b].Addr().String()))
	})
	t.Cleanup(func() {
		for _, p := range in.processes {
			p.stop()
		}
	})
	return in, names
}

// Guards against an installation without a log for good: the control VM that bootstraps it
// is killed in the first start, before it has, and its next process is not in a first start
// any more. The others start before it, after it, or are killed as well.
func TestFirstStartThatWasInterruptedIsCompleted(t *testing.T) {
	for _, killed := range []int{1, 2, 3} {
		in, names := newSeeds(t)
		folders := make(map[string]string)
		for _, name := range names {
			folders[name] = t.TempDir()
		}
		for _, name := range names[:killed] {
			in.start(name, folders[name], true)
			in.processes[name].stop()
			in.listen(name, in.processes[name].address)
		}
		for _, name := range names[killed:] {
			in.start(name, folders[name], true)
		}
		for _, name := range names[:killed] {
			in.start(name, folders[name], false)
		}
		in.publish(names[0], 1)
		in.waitForVersion(1)
		for _, name := range names {
			in.restart(name, folders[name])
			in.publish(name, uint64(2+slices.Index(names, name)))
		}
		_, err := os.Stat(filepath.Join(folders[names[0]], "first-start"))
		assert.Assert(t, os.IsNotExist(err), "the record of the first start stays: %v", err)
	}
}

// Guards against a second log: a VM that is not the lowest of the first start, and one that
// has lost its disk, must not bootstrap one in place of the lowest.
func TestOnlyTheLowestVMCompletesAFirstStart(t *testing.T) {
	in, names := newSeeds(t)
	folders := make(map[string]string)
	for _, name := range names {
		folders[name] = t.TempDir()
		if name == names[0] {
			continue
		}
		in.start(name, folders[name], true)
		in.processes[name].stop()
		in.listen(name, in.processes[name].address)
		in.start(name, folders[name], false)
	}
	in.start(names[0], folders[names[0]], false)
	time.Sleep(2 * time.Second)
	for _, name := range names {
		_, err := in.read(name)
		assert.Assert(t, err != nil, "%s has a log", name)
	}
}

// Guards against an installation without a log for good: the lowest control VM, or the lowest
// two, are killed in the first start before they have its record on disk, and come back
// without knowing of it. The others do, and are never disturbed.
func TestFirstStartWithoutTheRecordOfTheLowestVMs(t *testing.T) {
	for _, killed := range []int{1, 2} {
		in, names := newSeeds(t)
		folders := make(map[string]string)
		for n, name := range names {
			folders[name] = t.TempDir()
			in.start(name, folders[name], n >= killed)
		}
		in.publish(names[0], 1)
		in.waitForVersion(1)
		for _, name := range names {
			in.restart(name, folders[name])
			in.publish(name, uint64(2+slices.Index(names, name)))
		}
		in.waitForVersion(4)
	}
}
