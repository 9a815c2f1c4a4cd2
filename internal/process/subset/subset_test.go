package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
)

// region returns the members of a region with two data centres, each with two large
// hosts and some small ones, and one member of another region.
func region(small int) []member.Member {
	var members []member.Member
	for _, centre := range []string{"a1", "a2"} {
		for i := range small + 2 {
			m := member.Member{Name: fmt.Sprintf("%s-%d", centre, i), DataCentre: centre, Region: "a", State: member.Ready, Capacity: 190}
			if i < 2 {
				m.Capacity = 800
			}
			members = append(members, m)
		}
	}
	return append(members, member.Member{Name: "b1-0", DataCentre: "b1", Region: "b", State: member.Ready, Capacity: 800})
}

func names(members []member.Member) []string {
	list := make([]string, 0, len(members))
	for i := range members {
		list = append(list, members[i].Name)
	}
	slices.Sort(list)
	return list
}

func TestChoose(t *testing.T) {
	rule := &Rule{Targets: map[string]int{"a1": 90, "a2": 2, "b1": 90}}
	changeOne := func(name string, change func(m *member.Member)) func(members []member.Member) {
		return func(members []member.Member) {
			for i := range members {
				if members[i].Name == name {
					change(&members[i])
				}
			}
		}
	}
	silent := func(m *member.Member) { m.State = member.Silent }
	tests := []struct {
		name   string
		change func(members []member.Member)
		want   int
		// included are daemons that have to be among the selected ones.
		included []string
	}{
		{"large hosts where the targets are", func([]member.Member) {}, 2, []string{"a1-0", "a1-1"}},
		{"one of them is lost", changeOne("a1-0", silent), 2, []string{"a1-1"}},
		{"one of them leaves", changeOne("a1-1", func(m *member.Member) { m.State = member.Leaving }), 2, []string{"a1-0"}},
		{"the load exceeds the limit of one daemon", changeOne("a1-0", func(m *member.Member) { m.Busy = 500 }), 3, []string{"a1-0", "a1-1"}},
		{"the load exceeds the limit of two daemons", changeOne("a1-0", func(m *member.Member) { m.Busy = 900 }), 4, []string{"a1-0", "a1-1", "a2-0", "a2-1"}},
		{"all daemons are fully loaded", func(members []member.Member) {
			for i := range members {
				members[i].Busy = members[i].Capacity
			}
		}, 14, nil},
		{"the data centre is lost", func(members []member.Member) {
			for i := range members {
				if members[i].DataCentre == "a1" {
					members[i].State = member.Silent
				}
			}
		}, 2, []string{"a2-0", "a2-1"}},
		{"no daemon is ready", func(members []member.Member) {
			for i := range members {
				members[i].State = member.Joining
			}
		}, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := region(5)
			tt.change(members)
			chosen := names(rule.Choose(members, "a"))
			if len(chosen) != tt.want {
				t.Errorf("%v were selected, want %d", chosen, tt.want)
			}
			for _, name := range tt.included {
				if !slices.Contains(chosen, name) {
					t.Errorf("%s is not among %v", name, chosen)
				}
			}
		})
	}
}

// The selection does not depend on the order of the members, and the loss of one
// selected daemon does not deselect another.
func TestChoiceIsDeterministicAndStable(t *testing.T) {
	rule := &Rule{Targets: map[string]int{"a1": 90, "a2": 90}}
	members := region(20)
	chosen := names(rule.Choose(members, "a"))
	slices.Reverse(members)
	if again := names(rule.Choose(members, "a")); !slices.Equal(chosen, again) {
		t.Errorf("%v, want %v", again, chosen)
	}
	for i := range members {
		if members[i].Name == chosen[0] {
			members[i].State = member.Silent
		}
	}
	if rest := names(rule.Choose(members, "a")); !slices.Contains(rest, chosen[1]) {
		t.Errorf("%v after %s was lost of %v", rest, chosen[0], chosen)
	}
}
