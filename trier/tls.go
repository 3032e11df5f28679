package trier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"
)

// certificateLife is the time for which the certificate of a trial is valid.
const certificateLife = 24 * time.Hour

// tlsMaterial holds a certificate for all services and the roots that verify it.
type tlsMaterial struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// newTLS creates a self-signed certificate in memory.
func newTLS(deployment Deployment) (*tlsMaterial, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("newTLS: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: deployment.Name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(certificateLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	for _, service := range deployment.Services {
		template.DNSNames = append(template.DNSNames, service.Name)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("newTLS: %w", err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("newTLS: %w", err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	return &tlsMaterial{certificate: certificate, roots: roots}, nil
}
