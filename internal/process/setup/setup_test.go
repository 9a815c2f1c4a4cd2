package setup_test

import (
	"strings"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/internal/process/setup"
)

const file = `[Daemon]
Name = a
Listen = 127.0.0.1:1
Link = 127.0.0.1:2
DataCentre = d
Region = r
[Platform]
HostList = http://127.0.0.1:3/hosts
[Keys]
Certificate = a.pem
Key = a.key
Authority = b.pem
`

func TestLimits(t *testing.T) {
	for _, tt := range []struct {
		limits              string
		memory, descriptors int
		want                string
	}{
		{"", 0, 0, ""},
		{"[Limits]\nMemoryMB = 96\n", 96, 0, ""},
		{"[Limits]\nMemoryMB = 96\nDescriptors = 400\n", 96, 400, ""},
		{"[Limits]\nMemoryMB = 31\n", 0, 0, `d.ini: [Limits] MemoryMB: "31" is not a number of at least 32`},
		{"[Limits]\nDescriptors = many\n", 0, 0, `d.ini: [Limits] Descriptors: "many" is not a number of at least 128`},
		{"[Limits]\nDisk = 1\n", 0, 0, `d.ini: [Limits] Disk: is not a field`},
	} {
		s, err := setup.Parse("d.ini", []byte(file+tt.limits))
		switch {
		case tt.want == "" && (err != nil || s.MemoryMB != tt.memory || s.Descriptors != tt.descriptors):
			t.Errorf("%q: %+v, %v", tt.limits, s, err)
		case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)):
			t.Errorf("%q: error %v, want %s", tt.limits, err, tt.want)
		}
	}
}
