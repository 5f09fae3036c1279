// Package logsink writes log lines through a bounded buffer, so that a slow or
// blocked writer never delays requests. Lines that do not fit into the buffer are
// dropped and counted; the count is logged with the next write.
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
	// maxBuffered is the number of bytes that can wait for the writer.
	maxBuffered = 256 << 10
	// flushInterval is the time between two writes.
	flushInterval = 200 * time.Millisecond
)

// Cause returns the log field "cause" with the message of an error, without the
// stack trace that the error may carry.
func Cause(err error) zap.Field { return zap.String("cause", err.Error()) }

// Sink is a buffered writer of log lines. Write is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
	// spare is the buffer of the previous write, reused for the next one.
	spare []byte
}

// New returns a sink that writes to out. Nothing is written before Run or Sync.
func New(out io.Writer) *Sink { return &Sink{out: out} }

// Write buffers a whole line. It never blocks on the underlying writer and always
// reports success, even if the line is dropped.
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

// Sync writes the buffered lines and the number of dropped ones. It returns the
// error of the underlying writer.
func (s *Sink) Sync() error { return s.flush() }

// Run writes the buffered lines every flushInterval until ctx ends.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// The error is ignored: a failed write of log lines must not end the
			// process.
			_ = s.flush()
		case <-ctx.Done():
			return
		}
	}
}

// flush writes the buffered lines and the number of dropped ones, without holding
// mu during the write. If the write fails, both are lost.
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
