//go:build deps

package gooseberrymast

import (
	_ "connectrpc.com/connect"
	_ "github.com/BurntSushi/toml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/hashicorp/yamux"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/quic-go/quic-go/http3"
	_ "github.com/spf13/cobra"
	_ "golang.org/x/net/http2/h2c"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
