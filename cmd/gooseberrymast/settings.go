package main

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"os"
	"sort"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/parser"
)

// readBalancerSettings reads and validates a balancer's settings. It also checks that
// the files they name are readable and that the addresses to listen on are free.
func readBalancerSettings(file string) (gooseberrymast.BalancerSettings, error) {
	text, err := readInput(file, "the name of a balancer's settings")
	if err != nil {
		return gooseberrymast.BalancerSettings{}, err
	}
	settings, err := parser.Balancer(file, text)
	var found gooseberrymast.Faults
	found = checkKeyFile(found, settings.KeyFile)
	found = checkUDP(found, "forward-address", settings.ForwardAddress)
	for _, name := range settings.ServiceNames() {
		for _, address := range settings.ServiceAddresses[name] {
			found = checkUDP(found, gooseberrymast.KeyPath("service-addresses", name), address)
		}
	}
	found = checkTCP(found, "control-address", settings.ControlAddress)
	found = checkTCP(found, "operators-address", settings.OperatorsAddress)
	return settings, joinFaults(err, parser.Locate(file, text, found))
}

// readAgentSettings reads and validates an agent's settings, with the same checks of
// files and addresses as readBalancerSettings.
func readAgentSettings(file string) (gooseberrymast.AgentSettings, error) {
	text, err := readInput(file, "the name of an agent's settings")
	if err != nil {
		return gooseberrymast.AgentSettings{}, err
	}
	settings, err := parser.Agent(file, text)
	var found gooseberrymast.Faults
	found = checkKeyFile(found, settings.KeyFile)
	found = checkCertificate(found, settings.CertificateFile, settings.CertificateKeyFile)
	found = checkUDP(found, "address", settings.Address)
	found = checkTCP(found, "control-address", settings.ControlAddress)
	found = checkTCP(found, "operators-address", settings.OperatorsAddress)
	return settings, joinFaults(err, parser.Locate(file, text, found))
}

// joinFaults merges the faults found by the parser with those found on this instance,
// ordered by line.
func joinFaults(err error, found gooseberrymast.Faults) error {
	var faults gooseberrymast.Faults
	errors.As(err, &faults)
	faults = append(faults, found...)
	sort.SliceStable(faults, func(i, j int) bool {
		return faults[i].Line < faults[j].Line
	})
	return faults.Err()
}

func checkKeyFile(faults gooseberrymast.Faults, name string) gooseberrymast.Faults {
	before := len(faults)
	faults = checkFile(faults, "key-file", name)
	if name == "" || len(faults) > before {
		return faults
	}
	if _, err := keyer.Load(name); err != nil {
		return append(faults, instanceFault("key-file", name, err, "a file of keys with a current epoch"))
	}
	return faults
}

func checkFile(faults gooseberrymast.Faults, key, name string) gooseberrymast.Faults {
	if name == "" {
		return faults
	}
	if _, err := os.ReadFile(name); err != nil {
		return append(faults, instanceFault(key, name, err, "the name of a file that can be read"))
	}
	return faults
}

func checkCertificate(faults gooseberrymast.Faults, certificate, key string) gooseberrymast.Faults {
	before := len(faults)
	faults = checkFile(faults, "certificate-file", certificate)
	faults = checkFile(faults, "certificate-key-file", key)
	if certificate == "" || key == "" || len(faults) > before {
		return faults
	}
	if _, err := tls.LoadX509KeyPair(certificate, key); err != nil {
		return append(faults, instanceFault("certificate-file", certificate, err, "a certificate in PEM that matches certificate-key-file"))
	}
	return faults
}

func checkUDP(faults gooseberrymast.Faults, key string, address netip.AddrPort) gooseberrymast.Faults {
	if !address.IsValid() || address.Port() == 0 {
		return faults
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return append(faults, instanceFault(key, address.String(), err, "a UDP address that this instance can listen on"))
	}
	_ = conn.Close()
	return faults
}

func checkTCP(faults gooseberrymast.Faults, key string, address netip.AddrPort) gooseberrymast.Faults {
	if !address.IsValid() || address.Port() == 0 {
		return faults
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return append(faults, instanceFault(key, address.String(), err, "a TCP address that this instance can listen on"))
	}
	_ = listener.Close()
	return faults
}

// instanceFault returns a fault for a setting that can't be used on this instance,
// such as a file that can't be read or an address that is taken.
func instanceFault(key, value string, err error, want string) gooseberrymast.Fault {
	return gooseberrymast.Fault{
		Key:   key,
		Value: gooseberrymast.FaultValue(value) + " (" + cause(err) + ")",
		Want:  want,
	}
}

// cause returns the reason of an error without the file name or address, which the
// fault states itself.
func cause(err error) string {
	var path *fs.PathError
	var operation *net.OpError
	switch {
	case errors.As(err, &path):
		return path.Err.Error()
	case errors.As(err, &operation):
		return fmt.Sprint(operation.Err)
	default:
		return err.Error()
	}
}
