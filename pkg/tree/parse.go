package tree

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/schollz/closestmatch"
	"gopkg.in/ini.v1"
)

// Parse validates the files and builds the tree. If any file is invalid, it
// returns an *Error of KindInvalid that lists every problem.
func Parse(files Files) (*Tree, error) {
	p := &parser{tree: &Tree{files: files, nodes: map[string]*node{}, resolved: map[string]*Settings{}}}
	for _, path := range files.Paths() {
		p.parseFile(path, files[path])
	}
	if p.tree.nodes[""] == nil {
		p.tree.nodes[""] = &node{level: LevelFirm, assignments: map[string]assignment{}}
	}
	for key := range p.tree.nodes {
		p.resolve(key)
	}
	if len(p.problems) > 0 {
		sortProblems(p.problems)
		return nil, &Error{Op: "parse settings", Kind: KindInvalid, Problems: p.problems}
	}
	return p.tree, nil
}

type parser struct {
	tree     *Tree
	problems []Problem
}

func (p *parser) addProblem(problem Problem) { p.problems = append(p.problems, problem) }

func (p *parser) parseFile(path, content string) {
	if path == RoutesFile {
		p.parseRoutes(content)
		return
	}
	key, level, ok := nodeKey(path)
	if !ok {
		p.addProblem(Problem{File: path, Line: 1, Message: "is not firm.ini, <deployment>/deployment.ini, " +
			"<deployment>/<service>/service.ini or <deployment>/<service>/<caller>.ini, with names of letters, digits, '-' and '_'"})
		return
	}
	options := ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true, SkipUnrecognizableLines: false}
	file, err := ini.LoadSources(options, []byte(content))
	if err != nil {
		p.addProblem(Problem{File: path, Line: firstInvalidLine(content), Message: strings.TrimSpace(err.Error())})
		return
	}
	n := &node{level: level, assignments: map[string]assignment{}}
	p.tree.nodes[key] = n
	lines := keyLines(content)
	for _, section := range file.Sections() {
		for _, k := range section.Keys() {
			p.parseKey(n, path, lines, section.Name(), k)
		}
	}
}

func (p *parser) parseKey(n *node, path string, lines map[string][]int, section string, k *ini.Key) {
	lineNumbers := lines[section+"\x00"+k.Name()]
	problem := Problem{File: path, Section: section, Field: k.Name(), Line: 1}
	if len(lineNumbers) > 0 {
		problem.Line = lineNumbers[len(lineNumbers)-1]
	}
	report := func(format string, arguments ...any) {
		problem.Message = fmt.Sprintf(format, arguments...)
		p.addProblem(problem)
	}
	if len(lineNumbers) > 1 {
		report("is set twice, first in line %d", lineNumbers[0])
		return
	}
	index, known := fieldIndex[k.Name()]
	if !known {
		report("is not a field; did you mean %s?", closestFieldName(k.Name()))
		return
	}
	f := &fields[index]
	if f.Section != section {
		report("belongs in section [%s]", f.Section)
		return
	}
	if n.level > f.Deepest {
		report("may be set no deeper than a %s", f.Deepest)
		return
	}
	if err := f.set(&Settings{}, k.Value()); err != nil {
		report("%v", err)
		return
	}
	n.assignments[f.Name] = assignment{value: k.Value(), file: path, line: problem.Line}
}

// resolve computes the settings in force at one node and validates their
// combinations.
func (p *parser) resolve(key string) {
	settings := &Settings{}
	keys := keysUpToRootOf(key)
	aim := Aim(p.tree.lookup("Aim", keys).value)
	for i := range fields {
		f := &fields[i]
		value := f.Defaults[aim]
		if a := p.tree.lookup(f.Name, keys); a.file != "" {
			value = a.value
		}
		// Values were validated when their file was parsed.
		if err := f.set(settings, value); err != nil {
			p.addProblem(Problem{File: key, Section: f.Section, Field: f.Name, Message: strings.TrimSpace(err.Error())})
		}
	}
	p.tree.resolved[key] = settings
	p.checkCombinations(key, keys, settings)
}

func (p *parser) checkCombinations(key string, keys []string, s *Settings) {
	own := p.tree.nodes[key].assignments
	reject := func(message string, names ...string) {
		for _, name := range names {
			// A combination is reported only at a node that sets one of its fields.
			a, assignedHere := own[name]
			if !assignedHere {
				continue
			}
			p.addProblem(Problem{File: a.file, Line: a.line, Section: fields[fieldIndex[name]].Section, Field: name, Message: message})
			return
		}
	}
	if s.SilentAfter < 3*s.HeartbeatInterval {
		reject("SilentAfter must be at least three times HeartbeatInterval", "SilentAfter", "HeartbeatInterval")
	}
	if s.StopGrace < s.AddressKeep {
		reject("StopGrace must be at least AddressKeep, or a planned stop cuts requests", "StopGrace", "AddressKeep")
	}
	if s.MaxAttempts == 1 && p.tree.lookup("ExtraLoad", keys).file != "" && s.ExtraLoad > 0 {
		reject("MaxAttempts = 1 leaves no use for ExtraLoad", "MaxAttempts", "ExtraLoad")
	}
	hoursSet := s.PriorityHours != (Hours{})
	if hoursSet && p.tree.lookup("TimeZone", keys).file == "" {
		reject("PriorityHours needs a TimeZone", "PriorityHours")
	}
	if hoursSet && p.tree.lookup("HoursPriority", keys).file == "" {
		reject("PriorityHours needs HoursPriority", "PriorityHours")
	}
}

func closestFieldName(name string) string {
	names := make([]string, 0, len(fields))
	for i := range fields {
		names = append(names, fields[i].Name)
	}
	return closestmatch.New(names, []int{2, 3}).Closest(name)
}

// keyLines returns the line numbers of each key, by section and key name. The
// INI library does not record line numbers.
func keyLines(content string) map[string][]int {
	lines := map[string][]int{}
	section := ini.DefaultSection
	for i, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = line[1 : len(line)-1]
			continue
		}
		cut := strings.IndexAny(line, "=:")
		if cut < 0 || strings.HasPrefix(line, ";") || strings.HasPrefix(line, "#") {
			continue
		}
		key := section + "\x00" + strings.TrimSpace(line[:cut])
		lines[key] = append(lines[key], i+1)
	}
	return lines
}

// firstInvalidLine returns the number of the first line that is not blank, a
// comment, a section or a key.
func firstInvalidLine(content string) int {
	for i, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(line)
		significant := line != "" && !strings.HasPrefix(line, ";") && !strings.HasPrefix(line, "#")
		if significant && !strings.HasPrefix(line, "[") && !strings.ContainsAny(line, "=:") {
			return i + 1
		}
	}
	return 1
}

func (a assignment) source() string { return a.file + ":" + strconv.Itoa(a.line) }

// Default returns the settings of an empty tree.
func Default() *Settings {
	settings := *emptyTreeSettings()
	return &settings
}

var emptyTreeSettings = sync.OnceValue(func() *Settings {
	t, err := Parse(Files{})
	if err != nil {
		panic(err)
	}
	return t.Resolve("", "", "")
})
