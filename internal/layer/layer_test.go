package layer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// platformNames are names of the platform's protocol.
var platformNames = []string{
	"Magnoliarelay-", "minShardFraction", "kv-txn", "kv-range", "kv-watch", "kv-lease", "kv-keep", "op/config", "allowStale",
	"trafficSplit", "healthCheckPath", "targetLatencyMs", "coldRemainingMs", "expectedRevision", "createRevision", "morePages",
	"currentRev", "ttlMinMs", "internalPortRange", "listenAddresses", "retryBudgetSlack", "gracePeriodS", "non_idempotent",
}

// allowedPaths are the folders in which these names may appear.
var allowedPaths = []string{"platform", "deploy", "docs", "journal", "internal/layer", "internal/fake", ".git", "target"}

func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains(allowedPaths, filepath.ToSlash(relative)) || entry.Name() == "testdata" {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, ".ini") {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range platformNames {
			if strings.Contains(string(content), name) {
				t.Errorf("%s contains %q, a name of the platform's protocol", relative, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// purePackages make decisions from their arguments and state, without I/O.
var purePackages = []string{
	"internal/request/gather", "internal/request/admit", "internal/request/once", "internal/process/fleet",
	"internal/process/budget", "internal/process/retry", "internal/process/alloc", "internal/process/ticks", "internal/process/poison", "internal/process/member",
	"internal/process/quota", "internal/process/roster", "internal/process/timing",
	"internal/version/epoch",
}

// ioPackages are the packages that do I/O.
var ioPackages = []string{
	"net", "net/http", "os", "os/signal", "syscall", "github.com/quic-go/quic-go", "golang.org/x/sys/unix",
	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1", "github.com/magnoliarelay/magnoliarelay/internal/conn/link",
}

func TestPurePackagesDoNoIO(t *testing.T) {
	for _, name := range purePackages {
		files, err := filepath.Glob(filepath.Join(root, name, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", name, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			if err != nil {
				t.Fatal(err)
			}
			for _, imported := range parsed.Imports {
				path, err := strconv.Unquote(imported.Path.Value)
				if err != nil {
					t.Fatal(err)
				}
				if slices.Contains(ioPackages, path) {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}

// Guards against locks that the check of the lock order doesn't see.
func TestLocksAreThoseOfPackageMutex(t *testing.T) {
	for _, folder := range []string{"internal", "platform", "pkg", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && path == filepath.Join(root, "internal/process/mutex") {
				return fs.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(parsed, func(n ast.Node) bool {
				selector, ok := n.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if name, ok := selector.X.(*ast.Ident); ok && name.Name == "sync" && strings.HasSuffix(selector.Sel.Name, "Mutex") {
					t.Errorf("%s uses sync.%s", path, selector.Sel.Name)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
