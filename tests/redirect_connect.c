#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Preloaded into a process under test, so that each pair of processes has an address of its own,
 * where the network proxy of the fault experiment listens. A connection to 127.A.0.HOST goes to
 * 127.A.SELF.HOST; JAYCOURSE_REDIRECT is "A SELF". While the file JAYCOURSE_NO_PORTS exists no
 * local port is free.
 */

#define NETWORK_SHIFT 16
#define CALLER_SHIFT 8
#define LOOPBACK_NET 127U

int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
	static int (*next)(int, const struct sockaddr *, socklen_t);
	const char *text = getenv("JAYCOURSE_REDIRECT");
	const char *no_ports = getenv("JAYCOURSE_NO_PORTS");
	struct sockaddr_in target;
	unsigned int network;
	unsigned int self;
	uint32_t ip;

	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "connect");
	if (addr->sa_family != AF_INET || !text || sscanf(text, "%u %u", &network, &self) != 2)
		return next(fd, addr, len);
	if (no_ports && access(no_ports, F_OK) == 0) {
		errno = EADDRNOTAVAIL;
		return -1;
	}
	target = *(const struct sockaddr_in *)addr;
	ip = ntohl(target.sin_addr.s_addr);
	if (ip >> CALLER_SHIFT == (LOOPBACK_NET << NETWORK_SHIFT | network << CALLER_SHIFT))
		target.sin_addr.s_addr = htonl(ip | self << CALLER_SHIFT);
	return next(fd, (struct sockaddr *)&target, sizeof(target));
}
