package merge

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// recordBytes is the length of a record. Greatest ignores a shorter rest of a part.
const recordBytes = 16

// record holds the bytes of a record as two big-endian numbers. Comparing them
// orders records by their bytes.
type record struct{ high, low uint64 }

// Greatest returns the greatest records of all parts in descending byte-wise order,
// at most top of them. A record is 16 bytes. Greatest keeps all of several equal
// records.
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
