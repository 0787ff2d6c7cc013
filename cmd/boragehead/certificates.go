package main

import (
	"context"
	"fmt"
	"net"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/commander"
)

const (
	flagFolder  = "folder"
	flagAddress = "address"
)

// formatServerCount formats how many servers a pool has and how many more requests
// they can take.
func formatServerCount(count, free int) string {
	return fmt.Sprintf("(%d, %d)", count, free)
}

func certificatesCommand() *cli.Command {
	return &cli.Command{
		Name:      "certificates",
		Usage:     "make a private authority and certificates for processes and operators",
		ArgsUsage: "ROLE:NAME ...",
		Description: "Each argument is gate:NAME, keeper:NAME or operator:NAME. The authority in the folder\n" +
			"is made when there is none. Keep its key away from the fleet.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFolder, Usage: "where the files are written", Value: "certificates"},
			&cli.StringSliceFlag{Name: flagAddress, Usage: "an IP `ADDRESS` that callers use, for caller-tls"},
		},
		Action: makeCertificates,
	}
}

func makeCertificates(_ context.Context, command *cli.Command) error {
	if command.Args().Len() == 0 {
		return trace.Wrap(commander.ErrUsage, "name at least one ROLE:NAME")
	}
	var addresses []net.IP
	for _, text := range command.StringSlice(flagAddress) {
		address := net.ParseIP(text)
		if address == nil {
			return trace.Wrap(commander.ErrUsage, "--address: %q is not an IP address", text)
		}
		addresses = append(addresses, address)
	}
	folder := command.String(flagFolder)
	authority, err := certifier.OpenAuthority(folder)
	if err != nil {
		return err
	}
	for _, argument := range command.Args().Slice() {
		role, name, found := strings.Cut(argument, ":")
		if !found || !validRole(certifier.Role(role)) {
			return trace.Wrap(commander.ErrUsage, "%q is not allowed: use gate:NAME, keeper:NAME or operator:NAME", argument)
		}
		if err := authority.Issue(folder, name, certifier.Role(role), addresses); err != nil {
			return err
		}
		printLine(command.Root().Writer, "%s/%s.pem", folder, name)
	}
	return nil
}

func validRole(role certifier.Role) bool {
	return role == certifier.RoleGate || role == certifier.RoleKeeper || role == certifier.RoleOperator
}
