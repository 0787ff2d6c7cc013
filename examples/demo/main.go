// Command demo runs an example fleet on loopback. It streams a response through the
// entry instance that the directory names, books something once although the
// request is sent twice, and shows that a withdrawn key is refused.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"
)

// demoTimeout bounds the whole demonstration.
const demoTimeout = 55 * time.Second

func main() {
	binaries := flag.String("binaries", "bin", "the folder of the binaries")
	example := flag.String("example", "examples/co-op", "the folder of the example")
	folder := flag.String("folder", "build/demo", "the folder for state and logs")
	flag.Parse()
	if err := run(*binaries, *example, *folder); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("\ndemo done: all processes stopped")
}

func run(binaries, example, folder string) (err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	ctx, cancelLimit := context.WithTimeout(ctx, demoTimeout)
	defer cancelLimit()
	f, err := newFleet(binaries, example, folder)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := f.stop(); err == nil {
			err = stopErr
		}
	}()
	steps := []step{
		{"make a private authority and certificates", f.makeCertificates},
		{"start 3 keepers, 7 entry instances and the stand-in backend servers", f.start},
		{"found the keepers", f.foundKeepers},
		{"apply the tables", f.applyTables},
		{"wait until all instances have them in force", f.awaitReady},
		{"give a key to the workspace penang-workshops", f.giveKey},
		{"ask an instance elsewhere which to use", f.askDirectory},
		{"stream an answer through the first it named", f.streamAnswer},
		{"book a cylinder swap, and send the same booking again", f.bookTwice},
		{"withdraw the key and ask again", f.withdrawKey},
		{"status", f.status},
		{"report of service-level burn", f.burnReport},
	}
	for number, s := range steps {
		fmt.Printf("\n== %d. %s\n", number+1, s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// step is one step of the demonstration.
type step struct {
	name string
	run  func(ctx context.Context) error
}
