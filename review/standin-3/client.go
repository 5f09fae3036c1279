package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is the whole answer to a request.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// request sends a request to the entry VM on a new connection, with header lines that end in
// a line break each, and returns the answer.
func (d *deployment) request(id, method, target string, lines ...string) (answer, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", d.entries[0].IP, d.callersPort), callTimeout)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return answer{}, err
	}
	d.record.write("client sends %s %s as request %q %q", method, target, id, lines)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: roster.example\r\n%s: %s\r\n%s: 2000\r\n", method, target, d.names.Request, id, d.names.Deadline)
	for _, line := range lines {
		head += line
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return answer{}, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}, err
	}
	d.record.write("request %q is answered %d, signature %q, parts %q, missing %q, %d bytes", id, res.StatusCode,
		res.Header.Get(d.names.Signature), res.Header.Get(d.names.Parts), res.Header.Get(d.names.Missing), len(body))
	return answer{status: res.StatusCode, header: res.Header, body: body}, nil
}
