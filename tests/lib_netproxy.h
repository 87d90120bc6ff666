#ifndef JAYCOURSE_LIB_NETPROXY_H
#define JAYCOURSE_LIB_NETPROXY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

/**
 * DOC: TCP proxies between the processes under test, with faults in each direction
 *
 * The connection to the target is made when the caller's is accepted, so bytes that are held back
 * reach the process to which they were sent or none. They are delivered even if their sender has
 * ended meanwhile.
 */

struct netproxy;
struct netlink;

/* Direction of bytes on a link. */
enum netproxy_direction {
	NETPROXY_TO_TARGET,
	NETPROXY_TO_CALLER,
	NETPROXY_DIRECTIONS,
};

/* What happens to the bytes of one direction; a later value prevails over an earlier one. */
enum netproxy_flow {
	NETPROXY_PASS,
	NETPROXY_HOLD,	 /* kept and delivered when the flow passes again */
	NETPROXY_DROP,	 /* lost; the connections that lost bytes are reset afterwards */
	NETPROXY_REFUSE, /* connections are reset at the beginning; the caller refuses new ones */
};

struct netproxy *netproxy_create(TALLOC_CTX *mem, struct tevent_context *ev);

/** netproxy_add() - add a link that forwards connections between two addresses "ip:port" */
struct netlink *netproxy_add(struct netproxy *proxy, const char *listen, const char *target);

/** netlink_listen() - accept or refuse connections; Return: false if the address is in use */
bool netlink_listen(struct netlink *link, bool on);

/** netlink_set() - set the flow of one direction and the delay of bytes that pass */
void netlink_set(struct netlink *link, enum netproxy_direction direction, enum netproxy_flow flow,
		 uint32_t delay_ms);

/** netlink_reset() - reset all connections of a link; bytes that are held back are lost */
void netlink_reset(struct netlink *link);

#endif
