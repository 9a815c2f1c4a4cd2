// Package setup reads the configuration file of a daemon: its own addresses and those
// of the platform.
//
// # Usage
//
//	s, err := setup.Load("daemon.ini")
//
// The file is INI:
//
//	[Daemon]
//	Name = entry-1
//	Listen = 10.0.0.1:7000
//	Link = 10.0.0.1:7100
//	Opaque = 10.0.0.1:7001
//	DataCentre = palermo-a
//	Region = palermo
//	[Platform]
//	Store = http://10.0.0.9:2379
//	HostList = http://10.0.0.9:8500/hosts
//	[Keys]
//	Certificate = daemon.pem
//	Key = daemon.key
//	Authority = authority.pem
//	[Limits]
//	MemoryMB = 512
//	Descriptors = 8192
//
// The section Limits may be left out; the limits are then those of the host and the process.
package setup

import (
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	KindUnreadable Kind = "Unreadable"
	KindInvalid    Kind = "Invalid"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Setup is the local configuration of a daemon, as opposed to the settings in the
// store.
type Setup struct {
	Name       string
	Listen     string
	Link       string
	DataCentre string
	Region     string
	// Opaque is the address for requests that are relayed unchanged. If it is empty, the
	// daemon serves none.
	Opaque string
	// Store holds the base URLs of the platform's store. If it is empty, the daemon
	// gets the settings from its peers.
	Store []string
	// HostList is the URL of the platform's host list.
	HostList string
	// Peers are link addresses of other daemons, in addition to those in the host list.
	Peers       []string
	Certificate string
	Key         string
	Authority   string
	// MemoryMB and Descriptors are what the daemon may use; zero means as much as the host
	// and the limits of the process allow.
	MemoryMB    int
	Descriptors int
}

// The least limits with which a daemon can serve.
const (
	minMemoryMB    = 32
	minDescriptors = 128
)

// Load reads and checks the file.
func Load(path string) (*Setup, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load setup", Kind: KindUnreadable, Err: err}
	}
	return Parse(path, content)
}

// Parse checks the content of a file.
func Parse(path string, content []byte) (*Setup, error) {
	invalid := func(format string, arguments ...any) error {
		return &Error{Op: "load setup", Kind: KindInvalid, Err: fault.Causef(path+": "+format, arguments...)}
	}
	file, err := ini.Load(content)
	if err != nil {
		return nil, invalid("%v", err)
	}
	s := &Setup{}
	fields := s.fields()
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			values := fields[section.Name()+"."+key.Name()]
			if values == nil {
				return nil, invalid("[%s] %s: is not a field", section.Name(), key.Name())
			}
			*values = append(*values, key.Strings(",")...)
		}
	}
	s.assign(fields)
	for _, limit := range []struct {
		name  string
		min   int
		value *int
	}{{"Limits.MemoryMB", minMemoryMB, &s.MemoryMB}, {"Limits.Descriptors", minDescriptors, &s.Descriptors}} {
		text := strings.Join(*fields[limit.name], ",")
		if text == "" {
			continue
		}
		if *limit.value, err = strconv.Atoi(text); err != nil || *limit.value < limit.min {
			section, key, _ := strings.Cut(limit.name, ".")
			return nil, invalid("[%s] %s: %q is not a number of at least %d", section, key, text, limit.min)
		}
	}
	return s, s.check(invalid)
}

// fields maps each known "Section.Key" to an empty list of values.
func (s *Setup) fields() map[string]*[]string {
	names := []string{
		"Daemon.Name", "Daemon.Listen", "Daemon.Link", "Daemon.DataCentre", "Daemon.Region", "Daemon.Opaque", "Daemon.Peers",
		"Platform.Store", "Platform.HostList", "Keys.Certificate", "Keys.Key", "Keys.Authority",
		"Limits.MemoryMB", "Limits.Descriptors",
	}
	fields := make(map[string]*[]string, len(names))
	for _, name := range names {
		fields[name] = &[]string{}
	}
	return fields
}

func (s *Setup) assign(fields map[string]*[]string) {
	value := func(name string) string { return strings.Join(*fields[name], ",") }
	s.Name = value("Daemon.Name")
	s.Listen = value("Daemon.Listen")
	s.Link = value("Daemon.Link")
	s.DataCentre = value("Daemon.DataCentre")
	s.Region = value("Daemon.Region")
	s.Opaque = value("Daemon.Opaque")
	s.Peers = *fields["Daemon.Peers"]
	s.Store = *fields["Platform.Store"]
	s.HostList = value("Platform.HostList")
	s.Certificate = value("Keys.Certificate")
	s.Key = value("Keys.Key")
	s.Authority = value("Keys.Authority")
}

func (s *Setup) check(invalid func(string, ...any) error) error {
	required := []struct{ name, value string }{
		{"[Daemon] Name", s.Name},
		{"[Daemon] Listen", s.Listen},
		{"[Daemon] Link", s.Link},
		{"[Daemon] DataCentre", s.DataCentre},
		{"[Daemon] Region", s.Region},
		{"[Platform] HostList", s.HostList},
		{"[Keys] Certificate", s.Certificate},
		{"[Keys] Key", s.Key},
		{"[Keys] Authority", s.Authority},
	}
	for _, r := range required {
		if r.value == "" {
			return invalid("%s: is missing", r.name)
		}
	}
	if strings.ContainsAny(s.Name, "./ ") {
		return invalid("[Daemon] Name: %q holds a dot, slash or blank", s.Name)
	}
	addresses := append([]string{s.Listen, s.Link}, s.Peers...)
	if s.Opaque != "" {
		addresses = append(addresses, s.Opaque)
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return invalid("%q is not an IP address and port", address)
		}
	}
	for _, at := range append([]string{s.HostList}, s.Store...) {
		if u, err := url.Parse(at); err != nil || u.Scheme != "http" && u.Scheme != "https" {
			return invalid("%q is not an http URL", at)
		}
	}
	return nil
}
