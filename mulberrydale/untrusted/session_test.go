package untrusted

import (
	"encoding/binary"
	"io"
	"net"
	"strings"

	"github.com/mulberrydale/mulberrydale/core/connection/frame"
)

// operatorKinds are the kinds against the operators' listener: those against callers,
// and bodies of calls that publish a document, stopping one byte short and whole.
func operatorKinds() []kind {
	put := "PUT /routes HTTP/1.1\r\nHost: h.example\r\nContent-Length: 262144\r\n\r\n"
	nested := `{"version": 2, "routes": [` + strings.Repeat("{},", legalBodyBytes/3-20) + "{}]}"
	nested += strings.Repeat(" ", legalBodyBytes-len(nested))
	return append(kinds(),
		kind{"documents one byte short", write(put + strings.Repeat(" ", legalBodyBytes-1))},
		kind{"documents of many values", answered(put + nested)})
}

// sessionKinds are the kinds against the listener for sessions between VMs.
func sessionKinds() []kind {
	header := func(n int) string { return string(binary.BigEndian.AppendUint32(nil, uint32(n))) }
	return []kind{
		{"nothing at all", write("")},
		{"a frame of the maximum size that stops after its length", write(header(frame.MaxBytes))},
		{"a frame of the maximum size", repeat(header(frame.MaxBytes), "x")},
		{"frames without a message", repeat("", header(0))},
		{"a frame byte by byte", trickled(header(frame.MaxBytes) + strings.Repeat("x", 2*trickledBytes))},
		{"a request of HTTP", write(head("\r\n"))},
		{"frames over the maximum size", func(conn net.Conn) error {
			_, err := io.WriteString(conn, header(frame.MaxBytes+1))
			return err
		}},
	}
}
