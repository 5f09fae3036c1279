package intake

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that was paused must first read what arrived meanwhile, and not close the
// connections on which it arrived.
func TestNothingIsOverdueAfterAPause(t *testing.T) {
	start := time.Now()
	d := pauseDetector{checkedAt: start}
	for _, step := range []struct {
		at   time.Duration
		want bool
	}{
		{250 * time.Millisecond, true},
		{900 * time.Millisecond, true},
		{5 * time.Second, false},
		{5250 * time.Millisecond, false},
		{5950 * time.Millisecond, false},
		{6 * time.Second, true},
		{6250 * time.Millisecond, true},
	} {
		assert.Equal(t, d.ranThrough(start.Add(step.at)), step.want, "%v", step.at)
	}
}

// BenchmarkSmallChunks measures a body in chunks of one byte, the most work for each byte
// that a caller sends, without and with the framing of this package.
func BenchmarkSmallChunks(b *testing.B) {
	text := []byte(strings.Repeat("1\r\nb\r\n", 40000) + "0\r\n\r\n")
	b.Run("framing", func(b *testing.B) {
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			f := framing{phase: inChunkSize, length: unknownLength}
			for rest := text; len(rest) > 0; {
				n, err := f.scanBody(rest[:min(len(rest), 4096)])
				if err != nil {
					b.Fatal(err)
				}
				rest = rest[n:]
			}
		}
	})
	b.Run("net-http", func(b *testing.B) {
		b.SetBytes(int64(len(text)))
		head := []byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
		for b.Loop() {
			r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), bytes.NewReader(text))))
			if err != nil {
				b.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, r.Body); n != 40000 || err != nil {
				b.Fatal(n, err)
			}
		}
	})
}
