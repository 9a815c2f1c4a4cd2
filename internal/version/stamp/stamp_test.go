package stamp

import (
	"slices"
	"testing"
)

func TestOrder(t *testing.T) {
	ordered := []Stamp{
		{},
		{Revision: 34},
		{Era: 1, Revision: 5},
		{Era: 1, Revision: 34},
		{Era: 2, Revision: 23},
		{Number: 8, Era: 2, Revision: 20},
		{Number: 10, Era: 1, Revision: 34},
		{Number: 10, Era: 2, Revision: 21},
		{Number: 11, Era: 2, Revision: 22},
		Latest,
	}
	for i, a := range ordered {
		for j, b := range ordered {
			if a.After(b) != (i > j) || a.Max(b) != ordered[max(i, j)] {
				t.Errorf("%v after %v: %t", a, b, a.After(b))
			}
		}
	}
	if !slices.IsSortedFunc(ordered, Stamp.Compare) {
		t.Error("the stamps are not sorted")
	}
}
