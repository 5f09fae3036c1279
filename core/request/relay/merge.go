package relay

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record in the response of a shard. A shorter
// remainder at the end of a response is ignored.
const recordBytes = 16

// mergeSurplus is the least number of records from which on those that are not among the
// greatest are dropped before all have been looked at. Their index takes more memory than
// the records themselves.
const mergeSurplus = 4096

// greatest sorts records, greatest first, and returns at most as many as top.
func greatest(records [][]byte, top int) [][]byte {
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return records[:min(top, len(records))]
}

// mergeGreatest returns the greatest records of all parts, greatest first and at
// most as many as top. Records are compared byte by byte, and duplicates are
// kept.
func mergeGreatest(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= recordBytes {
			records = append(records, part[:recordBytes])
			part = part[recordBytes:]
			if len(records) >= mergeSurplus && len(records) >= 2*top {
				records = greatest(records, top)
			}
		}
	}
	records = greatest(records, top)
	out := make([]byte, 0, len(records)*recordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
