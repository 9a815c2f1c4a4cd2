package tree

import (
	"sort"
	"strings"
)

// assignment is the value of a field in one file.
type assignment struct {
	value string
	file  string
	line  int
}

// node holds the assignments of one file, by field name.
type node struct {
	level       Level
	assignments map[string]assignment
}

// Tree is a valid tree of settings.
type Tree struct {
	files    Files
	nodes    map[string]*node
	resolved map[string]*Settings
	routes   *Routes
}

// Files returns the source of the tree. The result must not be modified.
func (t *Tree) Files() Files { return t.files }

// Resolve returns the settings in force for a caller. A caller or service
// without a node of its own has the settings of its parent. The result is
// shared and must not be modified.
func (t *Tree) Resolve(deployment, service, caller string) *Settings {
	for _, key := range keysUpToRoot(deployment, service, caller) {
		if settings, ok := t.resolved[key]; ok {
			return settings
		}
	}
	return t.resolved[""]
}

// HasService reports whether the tree declares the service.
func (t *Tree) HasService(deployment, service string) bool {
	_, ok := t.nodes[deployment+"/"+service]
	return ok
}

// Services returns the declared services as "deployment/service", sorted.
func (t *Tree) Services() []string {
	var names []string
	for key, n := range t.nodes {
		if n.level == LevelService {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	return names
}

// Explanation is the value in force of one field and its origin.
type Explanation struct {
	Section string
	Field   string
	Value   string
	// Source is "file:line", or "default for Aim Balanced".
	Source string
	Unit   string
	Range  string
	Doc    string
}

// Explain returns the value in force of every field for a caller, and its origin.
func (t *Tree) Explain(deployment, service, caller string) []Explanation {
	keys := keysUpToRoot(deployment, service, caller)
	aim := Aim(t.lookup("Aim", keys).value)
	rows := make([]Explanation, 0, len(fields))
	for i := range fields {
		f := &fields[i]
		row := Explanation{Section: f.Section, Field: f.Name, Unit: f.Unit, Range: f.Range, Doc: f.Doc}
		if a := t.lookup(f.Name, keys); a.file != "" {
			row.Value = a.value
			row.Source = a.source()
		} else {
			row.Value = f.Defaults[aim]
			row.Source = "default for Aim " + string(aim)
		}
		rows = append(rows, row)
	}
	return rows
}

// lookup returns the first assignment of the field among the nodes with the
// given keys. If there is none, it returns the default for AimBalanced without
// a file; that value is correct only for a field whose default is the same for
// all aims.
func (t *Tree) lookup(field string, keys []string) assignment {
	for _, key := range keys {
		n := t.nodes[key]
		if n == nil {
			continue
		}
		if a, ok := n.assignments[field]; ok {
			return a
		}
	}
	return assignment{value: fields[fieldIndex[field]].Defaults[AimBalanced]}
}

// keysUpToRoot returns the node keys from the caller up to the firm.
func keysUpToRoot(deployment, service, caller string) []string {
	return []string{deployment + "/" + service + "/" + caller, deployment + "/" + service, deployment, ""}
}

func keysUpToRootOf(key string) []string {
	parts := strings.SplitN(key, "/", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	return keysUpToRoot(parts[0], parts[1], parts[2])
}
