package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/certs"
)

// certsOptions are the flags of `wheatseam certs`.
type certsOptions struct {
	out      string
	lifetime time.Duration
	ips      []net.IP
}

func newCertsCommand() *cobra.Command {
	var o certsOptions
	c := &cobra.Command{
		Use:   "certs NAME...",
		Short: "Create a certificate authority and a key pair for each name",
		Long: "Create NAME.pem and NAME-key.pem for each name, signed by the authority in ca.pem\n" +
			"and ca-key.pem, which is created if it does not exist. A name is the name of a\n" +
			"host in the bundle, or any name for an operator's client certificate.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			return o.writeCerts(cmd, names)
		},
	}
	f := c.Flags()
	f.StringVar(&o.out, "out", ".", "output directory")
	f.DurationVar(&o.lifetime, "lifetime", 365*24*time.Hour, "validity period of the certificates")
	f.IPSliceVar(&o.ips, "ip", []net.IP{net.IPv4(127, 0, 0, 1)}, "IP addresses that the certificates are valid for besides the name")
	return c
}

func (o *certsOptions) writeCerts(cmd *cobra.Command, names []string) error {
	if err := os.MkdirAll(o.out, 0o700); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	now := time.Now()
	authority, err := certs.OpenAuthority(o.out, now, o.lifetime)
	if err != nil {
		return err
	}
	for _, name := range names {
		pair, err := authority.Issue(name, now, o.lifetime, o.ips...)
		if err != nil {
			return err
		}
		certFile, keyFile := certs.KeyPairFiles(o.out, name)
		if err := pair.Write(certFile, keyFile); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), certFile, keyFile)
	}
	return nil
}
