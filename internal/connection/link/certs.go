package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// reloadInterval is how often the certificate files are read again.
	reloadInterval = 10 * time.Second
	// CertLifetime is the validity period of a node's certificate.
	CertLifetime      = 24 * time.Hour
	authorityLifetime = 20 * 365 * 24 * time.Hour
	// maxClockSkew is the tolerated clock difference between nodes; certificates
	// are valid from this long before they are issued.
	maxClockSkew = time.Hour
	serialBits   = 128
)

// CertFiles loads the certificates of a node from files and reloads them regularly,
// so that keys can be rotated without a restart. If a reload fails, the previous
// certificates stay in use.
type CertFiles struct {
	CA, Cert, Key string

	mu          sync.Mutex
	config      *tls.Config
	lastAttempt time.Time
}

// Load reads the files. It fails if a file is missing or malformed, or if the
// certificate and the key do not match.
func (f *CertFiles) Load() error {
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return eris.Wrap(err, "read peer CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return eris.Errorf("%s contains no PEM certificate", f.CA)
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return eris.Wrap(err, "load peer certificate and key")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = mutualTLSConfig(pool, cert)
	f.lastAttempt = time.Now()
	return nil
}

// TLSConfig returns the TLS configuration with the current certificates. It reloads
// the files first if the last attempt was more than 10 seconds ago. It returns nil if
// the files have never been loaded successfully.
func (f *CertFiles) TLSConfig() *tls.Config {
	f.mu.Lock()
	due := time.Since(f.lastAttempt) > reloadInterval
	if due {
		f.lastAttempt = time.Now()
	}
	f.mu.Unlock()
	if due {
		f.Load() //nolint:errcheck // the previous certificates stay in use.
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// mutualTLSConfig returns the configuration for links between nodes. Their key exchange
// is P-256 alone: it has assembly implementations on amd64 and arm64, and its key share
// has 65 bytes, while that of the default X25519MLKEM768 has 1,216. A node makes some
// dozens of handshakes when it starts. Unlike the default, P-256 does not protect recorded
// traffic from being decrypted by a quantum computer later. Links carry membership, grants,
// rows of the store and, with detours, callers' requests. Of these only the callers' API keys
// are of use for long, and callers and the store send them without TLS.
//
// No node keeps sessions to resume them, so that tickets are not sent either.
func mutualTLSConfig(pool *x509.CertPool, certs ...tls.Certificate) *tls.Config {
	return &tls.Config{
		Certificates: certs,
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,

		CurvePreferences:       []tls.CurveID{tls.CurveP256},
		SessionTicketsDisabled: true,
	}
}

// Authority is the certificate authority that issues the nodes' certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewAuthority returns an Authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate CA key")
	}
	template := certTemplate("goldcrestwick", authorityLifetime)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create CA certificate")
	}
	return newAuthority(raw, key)
}

func newAuthority(raw []byte, key *ecdsa.PrivateKey) (*Authority, error) {
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, eris.Wrap(err, "parse CA certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Authority{cert, key, pool}, nil
}

// PEM block types.
const (
	certBlockType = "CERTIFICATE"
	keyBlockType  = "PRIVATE KEY"
)

// Encode returns the CA certificate and the CA key as two PEM blocks.
func (a *Authority) Encode() ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, eris.Wrap(err, "encode CA key")
	}
	return append(a.CertPEM(), pem.EncodeToMemory(&pem.Block{Type: keyBlockType, Bytes: raw})...), nil
}

// ParseAuthority parses the output of Encode.
func ParseAuthority(text []byte) (*Authority, error) {
	cert, rest := pem.Decode(text)
	key, _ := pem.Decode(rest)
	if cert == nil || key == nil || cert.Type != certBlockType || key.Type != keyBlockType {
		return nil, eris.New("CA data is not a PEM certificate followed by a PEM private key")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(key.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "parse CA key")
	}
	private, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.New("CA key is not an ECDSA key")
	}
	return newAuthority(cert.Bytes, private)
}

// DeriveSecret derives a secret for a purpose from the CA key. All holders of the
// authority derive the same secret.
func (a *Authority) DeriveSecret(purpose string) [sha256.Size]byte {
	mac := hmac.New(sha256.New, a.key.D.Bytes()) //nolint:staticcheck // the private scalar is the HMAC key.
	mac.Write([]byte(purpose))
	return [sha256.Size]byte(mac.Sum(nil))
}

// Issue issues a certificate for a node at an IP address and returns the node's
// TLS configuration.
func (a *Authority) Issue(name string, ip net.IP) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate node key")
	}
	template := certTemplate(name, CertLifetime)
	template.IPAddresses = []net.IP{ip}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, eris.Wrap(err, "create node certificate")
	}
	return mutualTLSConfig(a.pool, tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}), nil
}

// CertPEM returns the CA certificate as a PEM block, the format of the CA file.
func (a *Authority) CertPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certBlockType, Bytes: a.cert.Raw})
}

// EncodeKeyPair returns the certificate and key of a node's TLS configuration as PEM
// blocks, the format of the certificate and key files.
func EncodeKeyPair(c *tls.Config) (cert, key []byte, err error) {
	raw, err := x509.MarshalPKCS8PrivateKey(c.Certificates[0].PrivateKey)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode node key")
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: certBlockType, Bytes: c.Certificates[0].Certificate[0]})
	key = pem.EncodeToMemory(&pem.Block{Type: keyBlockType, Bytes: raw})
	return cert, key, nil
}

func certTemplate(name string, lifetime time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // crypto/rand.Reader never fails.
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-maxClockSkew),
		NotAfter:     time.Now().Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// StaticTLSConfig returns a function that always returns c.
func StaticTLSConfig(c *tls.Config) func() *tls.Config { return func() *tls.Config { return c } }
