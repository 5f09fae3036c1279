// Package logsink writes log lines through a bounded buffer. A writer that is
// slow or stuck never holds a request up: lines that do not fit are dropped and
// counted, and the count is written once there is room again.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// maxBuffered bounds the bytes that wait for the writer.
	maxBuffered = 256 << 10
	// flushInterval is the time between two writes.
	flushInterval = 200 * time.Millisecond
)

// Cause returns the field of a log line that says why something failed: the
// message alone, without the stack that the error may carry.
func Cause(err error) zap.Field { return zap.String("cause", err.Error()) }

// Sink is a buffered writer of lines.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
	spare  []byte
}

// New returns a sink in front of a writer. Nothing is written before Run.
func New(out io.Writer) *Sink { return &Sink{out: out} }

// Write takes a whole line. It never blocks on the writer behind.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBuffered {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Sync writes what waits.
func (s *Sink) Sync() error { return s.flush() }

// Run writes what waits from time to time until ctx ends.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// An output that is gone must not end the process.
			_ = s.flush()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sink) flush() error {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = s.spare[:0]
	s.spare = nil
	s.mu.Unlock()
	if n := s.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines were dropped\",\"lines\":%d}\n", n)
	}
	var err error
	if len(lines) > 0 {
		_, err = s.out.Write(lines)
	}
	s.mu.Lock()
	s.spare = lines
	s.mu.Unlock()
	return err
}
