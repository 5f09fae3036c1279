package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of what the callers send. The legal ones are the limits of the document.
const (
	// callersOfEachTest is the number of connections that are open at once.
	callersOfEachTest = 300
	legalHeadBytes    = 16384
	legalBodyBytes    = 262144
	shortLines        = 2200
	// endlessBytes is where a caller ends that would send without end.
	endlessBytes = 2 << 20
	blockBytes   = 16 << 10
	// trickledBytes is the number of bytes that are sent one by one.
	trickledBytes = 64
)

// kind is a way in which a caller misuses its connection. send returns when everything
// is sent; the connection then stays open and silent.
type kind struct {
	name string
	send func(conn net.Conn) error
}

// head returns the beginning of a request, without the empty line that ends it.
func head(fields string) string {
	return "POST /round/1 HTTP/1.1\r\nHost: h.example\r\n" + fields
}

// write returns a send function that writes texts one after the other.
func write(texts ...string) func(net.Conn) error {
	return func(conn net.Conn) error {
		for _, text := range texts {
			if _, err := io.WriteString(conn, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// repeat returns a send function that writes a beginning and then a text until
// endlessBytes are sent.
func repeat(beginning, text string) func(net.Conn) error {
	block := strings.Repeat(text, blockBytes/len(text))
	return func(conn net.Conn) error {
		err := write(beginning)(conn)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			err = write(block)(conn)
		}
		return err
	}
}

// answered returns a send function that sends a whole request several times and reads
// each answer.
func answered(request string) func(net.Conn) error {
	return func(conn net.Conn) error {
		reader := bufio.NewReader(conn)
		for range 3 {
			if err := write(request)(conn); err != nil {
				return err
			}
			res, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, res.Body)
		}
		return nil
	}
}

// trickled returns a send function that writes a text, its last bytes one by one.
func trickled(text string) func(net.Conn) error {
	return func(conn net.Conn) error {
		err := write(text[:len(text)-trickledBytes])(conn)
		for n := len(text) - trickledBytes; err == nil && n < len(text); n++ {
			err = write(text[n : n+1])(conn)
			time.Sleep(5 * time.Millisecond)
		}
		return err
	}
}

// lines returns n header lines of equal length that fill a head of the legal size.
func lines(n int) string {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, "%x:\r\n", i+0x1000)
	}
	return out.String()
}

// chunked returns a body of chunks with the given number of bytes each, without the last
// chunk.
func chunked(total, chunk int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("b", chunk)), total/chunk)
}

// kinds returns the ways in which callers misuse a connection.
func kinds() []kind {
	body := strings.Repeat("b", legalBodyBytes)
	withLength := head(fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBodyBytes))
	inChunks := head("Transfer-Encoding: chunked\r\n\r\n")
	manyLines := head(lines(shortLines))
	return []kind{
		{"a head line without end", repeat(head("X-Long: "), "x")},
		{"head lines without end", repeat(head(""), "a: b\r\n")},
		{"a request line without end", repeat("GET /", "x")},
		{"a head over the limit", answered(head("X-Long: "+strings.Repeat("x", 4*legalHeadBytes)) + "\r\n\r\n")},
		{"empty lines before a request", repeat("", "\r\n")},
		{"many short header lines", answered(manyLines + "\r\n")},
		{"many short header lines without an end", write(manyLines)},
		{"odd header lines without an end", write(head(strings.Repeat(" :\r\n:\r\n", shortLines/2)))},
		{"bodies of legal size", answered(withLength + body)},
		{"bodies one byte short", write(withLength + body[1:])},
		{"bodies byte by byte", trickled(withLength + body[1:])},
		{"chunked bodies of legal size", answered(inChunks + chunked(legalBodyBytes, 4096) + "0\r\n\r\n")},
		{"chunked bodies without the last chunk", write(inChunks + chunked(legalBodyBytes, 4096))},
		{"chunked bodies in chunks of one byte", write(inChunks + chunked(legalBodyBytes, 1))},
	}
}

// hostileCallers are connections on which callers misuse a listener.
type hostileCallers struct {
	address string
	group   sync.WaitGroup
	// leave is closed when the callers close their connections.
	leave chan struct{}
	left  sync.WaitGroup
}

// startHostileCallers opens callersOfEachTest connections; the n-th sends the n-th of the
// kinds, in turn.
func startHostileCallers(t *testing.T, address string, kinds ...kind) *hostileCallers {
	t.Helper()
	h := &hostileCallers{address: address, leave: make(chan struct{})}
	for n := range callersOfEachTest {
		h.group.Add(1)
		h.left.Add(1)
		go (&hostileCaller{callers: h, kind: kinds[n%len(kinds)]}).run()
	}
	return h
}

// wait returns when every caller has sent everything or could not go on.
func (h *hostileCallers) wait() { h.group.Wait() }

// end closes all connections.
func (h *hostileCallers) end() {
	close(h.leave)
	h.left.Wait()
}

// hostileCaller is one of the connections.
type hostileCaller struct {
	callers *hostileCallers
	kind    kind
}

func (c *hostileCaller) run() {
	defer c.callers.left.Done()
	conn, err := net.DialTimeout("tcp", c.callers.address, 10*time.Second)
	if err == nil {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		_ = c.kind.send(conn)
	}
	c.callers.group.Done()
	<-c.callers.leave
}
