package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"gooseberrymast"
	"gooseberrymast/assembler"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/operator"
	"gooseberrymast/transport/reloader"
)

const agentLong = `Runs an agent: the process beside a backend server. It terminates callers'
flows, decides what runs, and hands requests to its backend server or to other
agents.

SIGTERM drains the backend server: new work goes to others, open flows and what is
in progress go on, and the agent stops when nothing is left or the document's
max-wait has passed. A second signal cuts what is left.

Exit codes: 0 stopped by a signal or the settings are valid, 1 failed, 2 the
settings are invalid.`

func newAgent() *cobra.Command {
	return newProcessCommand(processCommand[gooseberrymast.AgentSettings]{
		use:          "agent --config FILE",
		short:        "Run an agent beside a backend server",
		long:         agentLong,
		readSettings: readAgentSettings,
		logLevel:     func(settings gooseberrymast.AgentSettings) string { return settings.LogLevel },
		run:          runAgent,
	})
}

func runAgent(ctx context.Context, settings gooseberrymast.AgentSettings, incarnation gooseberrymast.Incarnation) error {
	keys, err := keyer.Load(settings.KeyFile)
	if err != nil {
		return err
	}
	var certificate certificateFile
	if err := certificate.load(settings); err != nil {
		return err
	}
	agent, err := assembler.NewAgent(assembler.AgentConfig{
		Settings:    settings,
		Incarnation: incarnation,
		Keys:        keys,
		Certificate: certificate.get,
		Timer:       timer.System{},
		Seed:        uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	files := &reloader.Reloader{
		Files: []string{settings.KeyFile, settings.CertificateFile, settings.CertificateKeyFile},
		Timer: timer.System{},
		Load: func() error {
			return errors.Join(loadKeys(settings.KeyFile, agent.SetKeys), certificate.load(settings))
		},
	}
	files.Start()
	defer files.Stop()
	stop, err := serveOperators(settings.OperatorsAddress, &operator.Server{
		Metrics:     agent.Registry,
		Ready:       agent.Ready,
		Refusals:    agent,
		AgentStatus: agent.Status,
	})
	if err != nil {
		return err
	}
	defer stop()
	return serveProcess(ctx, agent)
}

// certificateFile holds the certificate that was loaded last. It is reloaded while
// the agent runs.
type certificateFile struct {
	current atomic.Pointer[tls.Certificate]
}

func (c *certificateFile) load(settings gooseberrymast.AgentSettings) error {
	certificate, err := tls.LoadX509KeyPair(settings.CertificateFile, settings.CertificateKeyFile)
	if err != nil {
		return fmt.Errorf("certificateFile.load %s: %w", settings.CertificateFile, err)
	}
	c.current.Store(&certificate)
	return nil
}

func (c *certificateFile) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}
