package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record in the response of a shard. A shorter
// remainder at the end of a response is ignored.
const recordBytes = 16

// mergeGreatest returns the greatest records of all parts, greatest first and at
// most as many as top. Records are compared byte by byte, and duplicates are
// kept.
func mergeGreatest(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= recordBytes {
			records = append(records, part[:recordBytes])
			part = part[recordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	out := make([]byte, 0, len(records)*recordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
