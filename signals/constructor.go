//go:build linux && cgo

package signals

/*
#include <signal.h>
#include <string.h>

// The GNU C library passes the arguments of the program to constructors.
#ifdef __GLIBC__
// Ignores SIGHUP, which the Go runtime then leaves alone until it is asked for the signal. It
// resets the mask and the handlers of all other signals, so that these can't be kept here.
__attribute__((constructor)) static void ignore_hang_up(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "serve") == 0) // InstanceCommand
		signal(SIGHUP, SIG_IGN);
}
#endif
*/
import "C"
