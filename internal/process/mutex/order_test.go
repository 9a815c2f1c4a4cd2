//go:build lockorder

package mutex

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// reversed makes the test binary take two locks in both orders, one goroutine after the
// other, so that none waits.
const reversed = "MUTEX_TEST_REVERSED"

// Guards against a check of the lock order that reports nothing, as after an update of the
// toolchain that the library doesn't know.
func TestLocksInBothOrdersEndTheProcess(t *testing.T) {
	if os.Getenv(reversed) != "" {
		var first, second Mutex
		take(&first, &second)
		take(&second, &first)
		return
	}
	for _, tt := range []struct {
		name  string
		value string
		want  string
	}{
		{"one order", "", ""},
		{"both orders", "1", "Inconsistent locking"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			command := exec.Command(os.Args[0], "-test.run", "^TestLocksInOneOrder$")
			if tt.value != "" {
				command = exec.Command(os.Args[0], "-test.run", "^TestLocksInBothOrdersEndTheProcess$")
			}
			command.Env = append(os.Environ(), reversed+"="+tt.value)
			output, err := command.CombinedOutput()
			if (err != nil) != (tt.want != "") || !strings.Contains(string(output), tt.want) {
				t.Errorf("the process ended with %v and wrote:\n%s", err, output)
			}
		})
	}
}

// take takes two locks in a goroutine of its own.
func take(outer, inner *Mutex) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		outer.Lock()
		defer outer.Unlock()
		inner.Lock()
		defer inner.Unlock()
	}()
	<-done
}

func TestLocksInOneOrder(*testing.T) {
	var first, second Mutex
	take(&first, &second)
	take(&first, &second)
}
