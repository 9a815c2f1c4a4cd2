package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func paths(directory string) *Keys {
	return &Keys{
		Certificate: filepath.Join(directory, "d.pem"), Key: filepath.Join(directory, "d.key"), Authority: filepath.Join(directory, "authority.pem"),
	}
}

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// trusts reports whether k accepts the certificate of other.
func trusts(t *testing.T, k, other *Keys) bool {
	t.Helper()
	config := other.TLS()
	pair, err := config.GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return k.TLS().VerifyConnection(tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}) == nil
}

func TestFilesAreReadAgainWhenTheyChange(t *testing.T) {
	directory := t.TempDir()
	k := paths(directory)
	first, second := authority(t), authority(t)
	if err := first.Write(k, "d"); err != nil {
		t.Fatal(err)
	}
	if err := k.Load(); err != nil {
		t.Fatal(err)
	}
	old, err := first.Temporary("peer")
	if err != nil {
		t.Fatal(err)
	}
	renewed, err := second.Temporary("peer")
	if err != nil {
		t.Fatal(err)
	}
	if !trusts(t, k, old) || trusts(t, k, renewed) {
		t.Fatal("the first authority is not the one trusted")
	}
	if err := second.Write(k, "d"); err != nil {
		t.Fatal(err)
	}
	// The files are checked every few seconds. Moving the last check back makes the
	// next one due.
	later := time.Now().Add(time.Minute)
	for _, path := range []string{k.Certificate, k.Key, k.Authority} {
		if err := os.Chtimes(path, later, later); err != nil {
			t.Fatal(err)
		}
	}
	k.lastCheck = time.Now().Add(-2 * checkInterval)
	if trusts(t, k, old) || !trusts(t, k, renewed) {
		t.Error("the changed files were not read again")
	}
}

func TestBrokenFilesLeaveTheOldKeysInUse(t *testing.T) {
	k := paths(t.TempDir())
	a := authority(t)
	if err := a.Write(k, "d"); err != nil {
		t.Fatal(err)
	}
	if err := k.Load(); err != nil {
		t.Fatal(err)
	}
	peer, err := a.Temporary("peer")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(k.Certificate, []byte("half a certif"), 0o600); err != nil {
		t.Fatal(err)
	}
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(k.Certificate, later, later); err != nil {
		t.Fatal(err)
	}
	k.lastCheck = time.Now().Add(-2 * checkInterval)
	if !trusts(t, k, peer) {
		t.Error("the old keys are no longer in use after the files became invalid")
	}
}

func TestLoadReportsMissingFiles(t *testing.T) {
	var e *Error
	if err := paths(t.TempDir()).Load(); !errors.As(err, &e) || e.Kind != KindUnreadable {
		t.Errorf("error %v", err)
	}
}
