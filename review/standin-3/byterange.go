package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

const (
	searchPath  = "/search/"
	recordBytes = 16
	// shardRecords is the number of records of a shard, and topK that of an answer.
	shardRecords = 12
	topK         = 5
	// searches is the number of requests on the route over shards.
	searches = 10
)

// signatureOf returns the signature of a leaf's answer to a request.
func signatureOf(leafID, request string) string { return leafID + "." + request }

// recordsOf returns the records of the shard of a leaf in no order. All leafs of a shard have
// the same.
func recordsOf(leafID string) []byte {
	shard := leafID[:strings.LastIndexByte(leafID, '-')]
	var out []byte
	for n := range shardRecords {
		// 7 and 12 have no common factor, so that all numbers occur, the greatest not first.
		out = fmt.Appendf(out, "%02d-%-13.13s", (7*n+3)%shardRecords, shard)
	}
	return out
}

// byteRange searches over two shards. The trouble is that the client asks for the first 16
// bytes of the answer only. The rule is broken if a success is not made of the greatest
// records of the parts that it names: all topK of them, or with status 206 the first.
func byteRange(d *deployment, trouble bool) (bool, error) {
	if err := d.start(); err != nil {
		return false, err
	}
	var lines []string
	if trouble {
		lines = append(lines, fmt.Sprintf("Range: bytes=0-%d\r\n", recordBytes-1))
	}
	broken, successes := false, 0
	for n := range searches {
		id := fmt.Sprintf("search-%d", n+1)
		a, err := d.request(id, http.MethodGet, searchPath+"1", lines...)
		if err != nil {
			return false, err
		}
		if a.status < 200 || a.status > 299 {
			continue
		}
		successes++
		want := greatest(strings.Split(a.header.Get(d.names.Parts), ", "))
		if a.status == http.StatusPartialContent {
			want = want[:recordBytes]
		}
		if !bytes.Equal(a.body, want) {
			d.record.write("request %q got %q, the greatest records of its parts are %q", id, a.body, want)
			broken = true
		}
	}
	if !trouble && successes == 0 {
		return false, errors.New("no search succeeded")
	}
	return broken, nil
}

// greatest returns the topK greatest records of the shards whose leafs gave the signatures.
func greatest(signatures []string) []byte {
	var records [][]byte
	for _, s := range signatures {
		leafID, _, _ := strings.Cut(s, ".")
		for record := range slices.Chunk(recordsOf(leafID), recordBytes) {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:topK], nil)
}
