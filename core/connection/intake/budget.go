package intake

import (
	"runtime/debug"
	"syscall"
)

const (
	// DefaultMemoryBytes is assumed if the memory of the machine is not stated.
	DefaultMemoryBytes = 4 << 30
	// restBytes is what a process needs without requests: its program, targets, routes and
	// the buffers of connections that it opened itself.
	restBytes = 40 << 20
	// minBudgetBytes is the least budget, with which a process still serves single requests.
	minBudgetBytes = 4 << 20
	// heapShare is the part of the memory above restBytes that may be charged. The rest is
	// for what the garbage collector has not freed yet, half of what is in use.
	heapShare = 0.5
	// programBytes is the memory of a process that the limit of the runtime does not count.
	programBytes = 24 << 20
	// reservedFiles, and reservedFileShare of all files if that is more, are for targets,
	// other VMs, the journal and the listeners themselves. A VM with 108 targets was seen with
	// 2,160 connections to them under attack.
	reservedFiles     = 200
	reservedFileShare = 0.5
	// defaultMaxFiles is assumed if the limit of the process is not known, and maxFiles
	// bounds a limit that is practically none.
	defaultMaxFiles = 1024
	maxFiles        = 1 << 16
	// minConns is the least number of connections of a listener.
	minConns = 8
	// connMemoryShare is the part of a listener's memory that connections may use, so that
	// memory is left for their requests.
	connMemoryShare = 0.5
)

// Budget is the memory and the connections that all callers of a process together may
// use.
type Budget struct {
	bytes int64
	conns int
}

// NewBudget returns the budget of a process on a machine with the given memory and limit
// on open files, 0 for a value that is not stated.
func NewBudget(memoryBytes int64, maxOpenFiles int) Budget {
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	if maxOpenFiles <= 0 {
		maxOpenFiles = processFileLimit()
	}
	reserved := max(reservedFiles, int(reservedFileShare*float64(maxOpenFiles)))
	return Budget{
		bytes: max(minBudgetBytes, int64(heapShare*float64(memoryBytes-restBytes))),
		conns: max(minConns, maxOpenFiles-reserved),
	}
}

// processFileLimit returns the number of files that the process may have open.
func processFileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultMaxFiles
	}
	return int(min(limit.Cur, maxFiles))
}

// NewLimiter returns the limiter of a listener that may use a share of the budget.
func (b Budget) NewLimiter(share float64) *Limiter {
	bytes := int64(share * float64(b.bytes))
	conns := min(int(share*float64(b.conns)), int(connMemoryShare*float64(bytes)/httpConnBytes))
	return NewLimiter(max(minConns, conns), bytes)
}

// LimitHeap makes the garbage collector work harder when the process is about to need
// more than the memory of its machine, 0 if that is not stated.
func LimitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(max(memoryBytes-programBytes, memoryBytes/2))
	}
}
