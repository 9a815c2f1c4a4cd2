package tree

import (
	"io/fs"
	"sort"
	"strings"
)

// Files is the source of a tree: file contents by slash-separated path.
type Files map[string]string

// MaxFilesBytes is the maximum size of all files of a tree together, so that
// the tree fits into one value of the store.
const MaxFilesBytes = 900 << 10

// Read returns every .ini file below the root. It skips hidden directories.
func Read(root fs.FS) (Files, error) {
	files := Files{}
	total := 0
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && strings.HasPrefix(entry.Name(), "."):
			return fs.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".ini"):
			return nil
		}
		content, err := fs.ReadFile(root, path)
		files[path] = string(content)
		total += len(content)
		return err
	})
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindUnreadable, Err: err}
	}
	if total > MaxFilesBytes {
		problem := Problem{File: ".", Message: "the tree is larger than 900 KiB, the maximum size of one change"}
		return nil, &Error{Op: "read settings", Kind: KindInvalid, Problems: []Problem{problem}}
	}
	return files, nil
}

// Paths returns the paths in alphabetical order.
func (f Files) Paths() []string {
	paths := make([]string, 0, len(f))
	for path := range f {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}

// nodeKey returns the key of the node that a file defines: "" for the firm,
// "D/S/C" for a caller.
func nodeKey(path string) (key string, level Level, ok bool) {
	parts := strings.Split(strings.TrimSuffix(path, ".ini"), "/")
	last := parts[len(parts)-1]
	for _, part := range parts {
		if !validName(part) {
			return "", 0, false
		}
	}
	switch {
	case len(parts) == 1 && last == "firm":
		return "", LevelFirm, true
	case len(parts) == 2 && last == "deployment":
		return parts[0], LevelDeployment, true
	case len(parts) == 3 && last == "service":
		return parts[0] + "/" + parts[1], LevelService, true
	case len(parts) == 3:
		return strings.Join(parts, "/"), LevelCaller, true
	}
	return "", 0, false
}

func validName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' {
			return false
		}
	}
	return true
}
