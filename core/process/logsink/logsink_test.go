package logsink_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/process/logsink"
)

// The reader of the output never reads, so that the first flush blocks.
func TestWriteDoesNotBlockOnStuckOutput(t *testing.T) {
	reader, writer := io.Pipe()
	s := logsink.New(writer)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go (&sinkLoop{sink: s}).run(ctx)
	line := []byte(strings.Repeat("x", 999) + "\n")
	start := time.Now()
	for range 10_000 {
		n, err := s.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	cancel()
	assert.NilError(t, reader.Close())
}

// sinkLoop runs a sink.
type sinkLoop struct{ sink *logsink.Sink }

func (l *sinkLoop) run(ctx context.Context) { l.sink.Run(ctx) }

func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	s := logsink.New(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 300 {
		_, err := s.Write(line)
		assert.NilError(t, err)
	}
	assert.NilError(t, s.Sync())
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("x\n")), 256)
	assert.Assert(t, strings.Contains(out.String(), `"lines":44`))
	out.Reset()
	_, err := s.Write([]byte("next\n"))
	assert.NilError(t, err)
	assert.NilError(t, s.Sync())
	assert.Equal(t, out.String(), "next\n")
}
