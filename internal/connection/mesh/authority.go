package mesh

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 2 * 365 * 24 * time.Hour
	// clockTolerance lets a certificate be used by hosts whose clocks are behind.
	clockTolerance = time.Hour
	serialBits     = 127
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates the certificate authority of a mesh.
func NewAuthority(name string, now time.Time) (Pair, error) {
	template, err := newTemplate(name, now, authorityLife)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, template, nil)
}

// Issue creates a certificate for one process. ips are the addresses on which
// it accepts links.
func (ca Pair) Issue(name string, role Role, ips []net.IP, now time.Time) (Pair, error) {
	parent, key, err := ca.parse()
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(name, now, certificateLife)
	if err != nil {
		return Pair{}, err
	}
	template.Subject.OrganizationalUnit = []string{string(role)}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	return sign(template, parent, key)
}

func newTemplate(name string, now time.Time, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "draw a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(life),
	}, nil
}

// sign makes a key for template and signs it with parentKey, or with itself
// where parentKey is nil.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fault.Wrap(fault.Internal, err, "generate a key")
	}
	if parentKey == nil {
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, fault.Wrap(fault.Internal, err, "sign a certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fault.Wrap(fault.Internal, err, "encode a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func (ca Pair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(ca.Certificate)
	keyBlock, _ := pem.Decode(ca.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, fault.New(fault.SettingsInvalid, "the certificate authority's files are not PEM")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, fault.Wrap(fault.SettingsInvalid, err, "read the certificate authority")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, fault.Wrap(fault.SettingsInvalid, err, "read the certificate authority's key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fault.New(fault.SettingsInvalid, "the certificate authority's key is not an ECDSA key")
	}
	return cert, key, nil
}
