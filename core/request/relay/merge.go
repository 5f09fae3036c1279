package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record of a shard's part. A remainder that is
// shorter is no record.
const recordBytes = 16

// mergeGreatest returns the mergeGreatest records of all parts, mergeGreatest first, compared
// byte by byte. Equal records all count.
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
