// Package setup reads the file that tells a daemon its own addresses and where
// the platform is.
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
package setup

import (
	"net"
	"net/url"
	"os"
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

// Setup is what a daemon knows before it meets anyone.
type Setup struct {
	Name       string
	Listen     string
	Link       string
	DataCentre string
	Region     string
	// Opaque is the address for requests that pass through unchanged; empty
	// serves none.
	Opaque string
	// Store holds base URLs of the platform's store; none means that the
	// daemon learns the settings from its peers.
	Store []string
	// HostList is the URL of the platform's host list.
	HostList string
	// Peers are links of other daemons, besides those in the host list.
	Peers       []string
	Certificate string
	Key         string
	Authority   string
}

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
			at := fields[section.Name()+"."+key.Name()]
			if at == nil {
				return nil, invalid("[%s] %s: is not a field", section.Name(), key.Name())
			}
			*at = append(*at, key.Strings(",")...)
		}
	}
	s.assign(fields)
	return s, s.check(invalid)
}

// fields maps "Section.Key" to the values found.
func (s *Setup) fields() map[string]*[]string {
	names := []string{
		"Daemon.Name", "Daemon.Listen", "Daemon.Link", "Daemon.DataCentre", "Daemon.Region", "Daemon.Opaque", "Daemon.Peers",
		"Platform.Store", "Platform.HostList", "Keys.Certificate", "Keys.Key", "Keys.Authority",
	}
	fields := make(map[string]*[]string, len(names))
	for _, name := range names {
		fields[name] = &[]string{}
	}
	return fields
}

func (s *Setup) assign(fields map[string]*[]string) {
	one := func(name string) string { return strings.Join(*fields[name], ",") }
	s.Name = one("Daemon.Name")
	s.Listen = one("Daemon.Listen")
	s.Link = one("Daemon.Link")
	s.DataCentre = one("Daemon.DataCentre")
	s.Region = one("Daemon.Region")
	s.Opaque = one("Daemon.Opaque")
	s.Peers = *fields["Daemon.Peers"]
	s.Store = *fields["Platform.Store"]
	s.HostList = one("Platform.HostList")
	s.Certificate = one("Keys.Certificate")
	s.Key = one("Keys.Key")
	s.Authority = one("Keys.Authority")
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
			return invalid("%q is not an IP number and port", address)
		}
	}
	for _, at := range append([]string{s.HostList}, s.Store...) {
		if u, err := url.Parse(at); err != nil || u.Scheme != "http" && u.Scheme != "https" {
			return invalid("%q is not an http URL", at)
		}
	}
	return nil
}
