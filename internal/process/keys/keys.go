// Package keys holds the keys by which daemons authenticate each other: a certificate
// with its private key, and the authority that signs all certificates. It reads the
// files again when they change.
//
// # Usage
//
//	k := &keys.Keys{Certificate: "daemon.pem", Key: "daemon.key", Authority: "authority.pem"}
//	err := k.Load()
//	config := k.TLS()
//
// Temporary makes keys in memory for demonstrations and tests.
package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	KindUnreadable Kind = "Unreadable"
	KindUntrusted  Kind = "Untrusted"
	KindGenerate   Kind = "Generate"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	protocol            = "magnoliarelay/1"
	checkInterval       = 2 * time.Second
	certificateValidity = 24 * time.Hour
)

// Keys is one daemon's keys. Exported fields are set before Load.
type Keys struct {
	// Certificate, Key and Authority are PEM files.
	Certificate string
	Key         string
	Authority   string
	// Trusted, if set, replaces the check against the authority: it reports whether
	// the peer whose certificate has this fingerprint is trusted. The validity dates of
	// the certificate are not checked, so that a jump of the wall clock breaks no
	// connection.
	Trusted func(fingerprint []byte) bool

	mu            mutex.Mutex
	pair          *tls.Certificate
	pool          *x509.CertPool
	lastCheck     time.Time
	loadedModTime time.Time
}

// Load reads the files.
func (k *Keys) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.load()
}

func (k *Keys) load() error {
	pair, err := tls.LoadX509KeyPair(k.Certificate, k.Key)
	if err != nil {
		return &Error{Op: "load keys", Kind: KindUnreadable, Err: err}
	}
	authority, err := os.ReadFile(k.Authority)
	if err != nil {
		return &Error{Op: "load keys", Kind: KindUnreadable, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return &Error{Op: "load keys", Kind: KindUnreadable, Err: fault.Causef("%s holds no certificate", k.Authority)}
	}
	k.pair, k.pool, k.loadedModTime = &pair, pool, k.newestModTime()
	return nil
}

func (k *Keys) newestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{k.Certificate, k.Key, k.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the keys, and reads the files first if they have changed. If the
// files are invalid, as while they are being replaced, the old keys stay in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Certificate != "" && time.Since(k.lastCheck) > checkInterval {
		k.lastCheck = time.Now()
		if k.newestModTime().After(k.loadedModTime) {
			// If this fails, the old keys stay in use.
			_ = k.load()
		}
	}
	return k.pair, k.pool
}

// TLS returns the configuration for clients and servers: both require a certificate
// that the authority has signed, or that Trusted accepts. Host names are not checked,
// since the keys identify daemons.
func (k *Keys) TLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection checks the chain instead.
		SessionTicketsDisabled: true,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.certificate(), nil },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.certificate(), nil },
		VerifyConnection:       k.verify,
	}
}

func (k *Keys) certificate() *tls.Certificate {
	pair, _ := k.current()
	return pair
}

func (k *Keys) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Op: "verify peer", Kind: KindUntrusted, Err: fault.Causef("the peer presented no certificate")}
	}
	if k.Trusted != nil {
		if !k.Trusted(fingerprintOf(state.PeerCertificates[0].Raw)) {
			return &Error{Op: "verify peer", Kind: KindUntrusted, Err: fault.Causef("no member has presented this certificate")}
		}
		return nil
	}
	_, pool := k.current()
	options := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return &Error{Op: "verify peer", Kind: KindUntrusted, Err: err}
	}
	return nil
}

// fingerprintBytes is the length of a fingerprint: long enough that nobody can find
// another certificate with the same fingerprint, and short since every member record
// contains one.
const fingerprintBytes = 16

// Pinned creates a key that is used for the lifetime of the process. Peers recognize
// it by its fingerprint, which is part of the daemon's member record.
func Pinned(name string) (*Keys, error) {
	authority, err := NewAuthority()
	if err != nil {
		return nil, err
	}
	key, der, err := authority.sign(name)
	if err != nil {
		return nil, err
	}
	return &Keys{
		pair:    &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		Trusted: func([]byte) bool { return false },
	}, nil
}

// Fingerprint returns the fingerprint of this daemon's certificate.
func (k *Keys) Fingerprint() []byte {
	pair, _ := k.current()
	return fingerprintOf(pair.Certificate[0])
}

// PeerHasFingerprint reports whether the peer of a connection presented the certificate
// with the given fingerprint.
func PeerHasFingerprint(state tls.ConnectionState, fingerprint []byte) bool {
	return len(state.PeerCertificates) > 0 && bytes.Equal(fingerprintOf(state.PeerCertificates[0].Raw), fingerprint)
}

func fingerprintOf(der []byte) []byte {
	sum := sha256.Sum256(der)
	return sum[:fingerprintBytes]
}

// Authority signs keys for daemons.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
}

// NewAuthority creates an authority with a new key in memory.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &Error{Op: "make authority", Kind: KindGenerate, Err: err}
	}
	template := certificateTemplate("magnoliarelay authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &Error{Op: "make authority", Kind: KindGenerate, Err: err}
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &Error{Op: "make authority", Kind: KindGenerate, Err: err}
	}
	return &Authority{certificate: certificate, key: key, der: der}, nil
}

// Temporary returns new keys in memory, signed by the authority.
func (a *Authority) Temporary(name string) (*Keys, error) {
	key, der, err := a.sign(name)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return &Keys{pair: &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool: pool}, nil
}

// Write creates and signs keys for a daemon and writes the three files of k.
func (a *Authority) Write(k *Keys, name string) error {
	key, der, err := a.sign(name)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return &Error{Op: "write keys", Kind: KindGenerate, Err: err}
	}
	files := []struct {
		path, kind string
		der        []byte
	}{
		{k.Certificate, "CERTIFICATE", der},
		{k.Key, "EC PRIVATE KEY", private},
		{k.Authority, "CERTIFICATE", a.der},
	}
	for _, file := range files {
		content := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.der})
		if err := os.WriteFile(file.path, content, 0o600); err != nil {
			return &Error{Op: "write keys", Kind: KindUnreadable, Err: err}
		}
	}
	return nil
}

func (a *Authority) sign(name string) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, &Error{Op: "sign keys", Kind: KindGenerate, Err: err}
	}
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(name), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, nil, &Error{Op: "sign keys", Kind: KindGenerate, Err: err}
	}
	return key, der, nil
}

func certificateTemplate(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}
