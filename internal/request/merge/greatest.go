package merge

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// recordBytes is the length of a record; a shorter rest of a part is none.
const recordBytes = 16

// record is compared byte by byte, which is the order of two big-endian numbers.
type record struct{ high, low uint64 }

// Greatest returns the greatest records of all parts, greatest first. A record
// is 16 bytes; equal records all count.
func Greatest(parts [][]byte, top int) []byte {
	total := 0
	for _, part := range parts {
		total += len(part) / recordBytes
	}
	records := make([]record, 0, total)
	for _, part := range parts {
		for ; len(part) >= recordBytes; part = part[recordBytes:] {
			records = append(records, record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[recordBytes/2:])})
		}
	}
	slices.SortFunc(records, func(a, b record) int { return cmp.Or(cmp.Compare(b.high, a.high), cmp.Compare(b.low, a.low)) })
	records = records[:min(len(records), top)]
	body := make([]byte, 0, len(records)*recordBytes)
	for _, r := range records {
		body = binary.BigEndian.AppendUint64(body, r.high)
		body = binary.BigEndian.AppendUint64(body, r.low)
	}
	return body
}
