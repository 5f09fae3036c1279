package control

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/bootclock"
	"github.com/mulberrydale/mulberrydale/core/process/journal"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

const (
	// networkStep is the time between two steps of a network in simulated time.
	networkStep = 10 * time.Millisecond
	// acknowledgeBound is the time within which a change is acknowledged once no disk is full
	// any more: an election, and the catch-up of the VM whose disk was.
	acknowledgeBound = 4 * time.Second
	// sendInterval is the time between two changes, and answerTimeout the time after which
	// their sender gives up.
	sendInterval  = 50 * time.Millisecond
	answerTimeout = time.Second
)

// fullDisk is a disk that can be full.
type fullDisk struct {
	journal.Disk
	mu  sync.Mutex
	rng *rand.Rand
	// full makes calls fail from the one on that point names.
	full  bool
	point faultPoint
	// room is the number of writes for which there is room although the disk is full.
	room int
}

// faultPoint is the first call that fails on a full disk. Those after it fail, too.
type faultPoint int

const (
	atWrite faultPoint = iota
	atSync
	atRename
	atFolderSync
	faultPoints
)

// set makes the disk full from a point on, or gives it room again.
func (d *fullDisk) set(full bool, point faultPoint, room int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.point, d.room = full, point, room
}

// fails reports whether a call fails.
func (d *fullDisk) fails(point faultPoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if point == atWrite && d.room > 0 {
		d.room--
		return false
	}
	return d.full && d.room == 0 && point >= d.point
}

func (d *fullDisk) Write(file *os.File, data []byte) (int, error) {
	if d.fails(atWrite) {
		n, _ := d.Disk.Write(file, data[:d.rng.IntN(len(data))])
		return n, os.ErrInvalid
	}
	return d.Disk.Write(file, data)
}

func (d *fullDisk) Sync(file *os.File) error {
	if d.fails(atSync) {
		return os.ErrInvalid
	}
	return d.Disk.Sync(file)
}

func (d *fullDisk) Rename(from, to string) error {
	if d.fails(atRename) {
		return os.ErrInvalid
	}
	return d.Disk.Rename(from, to)
}

func (d *fullDisk) SyncFolder(folder string) error {
	if d.fails(atFolderSync) {
		return os.ErrInvalid
	}
	return d.Disk.SyncFolder(folder)
}

// sentChange is a change that waits for its outcome.
type sentChange struct {
	version uint64
	sentAt  bootclock.Time
	reply   chan proposalResult
}

// fullDiskRun is a network in simulated time whose disks are full in turn, and a sender of
// changes.
type fullDiskRun struct {
	network *network
	clock   *heldClock
	disks   map[string]*fullDisk
	rng     *rand.Rand
	waiting []sentChange
	sentAt  bootclock.Time
	version uint64
	// acknowledged is the highest version that was.
	acknowledged uint64
	documentSize int
}

// advance lets time pass while changes are sent.
func (r *fullDiskRun) advance(t *testing.T, d time.Duration) {
	for end := r.network.clock.now().Add(d); r.network.clock.now().Before(end); {
		r.clock.advance(networkStep)
		r.network.step(t)
		r.send()
	}
}

// send sends a change that is due to a leader and takes the outcomes of earlier ones.
func (r *fullDiskRun) send() {
	now := r.network.clock.now()
	var waiting []sentChange
	for _, c := range r.waiting {
		select {
		case res := <-c.reply:
			if res.err == nil {
				r.acknowledged = max(r.acknowledged, c.version)
			}
		default:
			if now.Sub(c.sentAt) < answerTimeout {
				waiting = append(waiting, c)
			}
		}
	}
	r.waiting = waiting
	leader, ok := r.network.leader()
	if !ok || now.Sub(r.sentAt) < sendInterval {
		return
	}
	r.sentAt = now
	r.version++
	c := sentChange{version: r.version, sentAt: now, reply: make(chan proposalResult, 1)}
	r.waiting = append(r.waiting, c)
	document := make([]byte, r.documentSize)
	r.network.vms[leader].handle(proposal{command: replica.NewPublishRoutes(c.version, document), reply: c.reply}, now)
}

// Guards against an installation that refuses changes after disks were full: in turn, never
// two at once, from any call of the journal on, during compactions, on leaders, followers and
// VMs that are catching up, with room for a write or two in between. After the last one
// changes must be acknowledged within acknowledgeBound, and nothing acknowledged is lost.
func TestChangesAreAcknowledgedAfterFullDisks(t *testing.T) {
	shapes := []struct{ vms, voters int }{{3, 3}, {4, 3}, {5, 5}, {6, 5}}
	for seed := range uint64(fullDiskSeeds()) {
		shape := shapes[seed%uint64(len(shapes))]
		t.Run(fmt.Sprintf("seed %d, %d of %d", seed, shape.voters, shape.vms), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 7))
			r := &fullDiskRun{clock: &heldClock{at: bootclock.Now()}, disks: make(map[string]*fullDisk), rng: rng, documentSize: 100 + rng.IntN(60_000)}
			r.network = newNetworkOf(t, newClock(r.clock.now), shape.vms, shape.voters, func(name string) journal.Disk {
				r.disks[name] = &fullDisk{Disk: journal.SystemDisk(), rng: rand.New(rand.NewPCG(seed, 8))}
				return r.disks[name]
			})
			// In some runs a disk is full from the first start on.
			firstFull := r.disks[r.network.names[rng.IntN(len(r.network.names))]]
			firstFull.set(rng.IntN(2) == 0, faultPoint(rng.IntN(int(faultPoints))), rng.IntN(3))
			r.advance(t, time.Duration(rng.IntN(4000))*time.Millisecond)
			firstFull.set(false, 0, 0)
			r.advance(t, acknowledgeBound)
			assert.Assert(t, r.acknowledged > 0, "no change was acknowledged after the first start")
			for range 3 + rng.IntN(6) {
				name := r.network.names[rng.IntN(len(r.network.names))]
				if leader, ok := r.network.leader(); ok && rng.IntN(2) == 0 {
					name = leader
				}
				for range 1 + rng.IntN(3) {
					r.disks[name].set(true, faultPoint(rng.IntN(int(faultPoints))), rng.IntN(3))
					r.advance(t, time.Duration(200+rng.IntN(2500))*time.Millisecond)
				}
				r.disks[name].set(false, 0, 0)
				r.advance(t, time.Duration(rng.IntN(1500))*time.Millisecond)
			}
			r.advance(t, acknowledgeBound)
			before := r.version
			r.advance(t, time.Second)
			assert.Assert(t, r.acknowledged > before, "version %d of %d is the last that was acknowledged", r.acknowledged, r.version)
			r.waiting = nil
			r.sentAt = r.network.clock.now().Add(time.Hour)
			r.advance(t, acknowledgeBound)
			for _, name := range r.network.names {
				version := r.network.vms[name].Status().Routes().Version()
				assert.Assert(t, version >= r.acknowledged, "%s has version %d, %d was acknowledged", name, version, r.acknowledged)
			}
		})
	}
}

// fullDiskSeeds returns the number of seeds to play, 8 unless FULL_DISK_SEEDS states another.
func fullDiskSeeds() int {
	n := 8
	// Without the variable, or with another text in it, n stays as it is.
	_, _ = fmt.Sscan(os.Getenv("FULL_DISK_SEEDS"), &n)
	return n
}
