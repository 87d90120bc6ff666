#include "lib_crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Without progress of any client for this long, all have sent what the server lets them. */
#define IDLE_MS 1500
#define PIECE_MAX (64 * 1024)
#define HEADER_MAX 1024

struct client {
	int fd; /* -1: closed */
	char *pending;
	size_t pending_len;
	size_t body_left;
	bool finishes;
	bool ended;
};

struct crowd {
	struct crowd_options options;
	struct client *clients;
};

static void make_header(const struct crowd_options *options, struct client *client)
{
	char length[64];

	if (options->announced_bytes)
		snprintf(length, sizeof(length), "Content-Length: %zu", options->announced_bytes);
	else
		snprintf(length, sizeof(length), "Transfer-Encoding: chunked");
	client->pending = malloc(PIECE_MAX + HEADER_MAX);
	client->pending_len = (size_t)snprintf(
		client->pending, HEADER_MAX,
		"%s %s HTTP/1.1\r\nHost: %s\r\n%s%s%sContent-Type: application/json\r\n%s\r\n\r\n",
		options->method, options->path, options->host ? options->host : "h.example",
		options->authorization ? "Authorization: " : "",
		options->authorization ? options->authorization : "",
		options->authorization ? "\r\n" : "", length);
}

/* Spaces are a legal start of a JSON body. */
static void make_piece(const struct crowd_options *options, struct client *client)
{
	size_t size = options->chunk_bytes < PIECE_MAX ? options->chunk_bytes : PIECE_MAX;
	size_t at = 0;

	/* Several small chunks are written at once, so that the test takes seconds. */
	while (client->body_left > 0 && (at == 0 || at + size + 32 < PIECE_MAX)) {
		size_t bytes = client->body_left < size ? client->body_left : size;

		if (!options->announced_bytes)
			at += (size_t)sprintf(client->pending + at, "%zx\r\n", bytes);
		memset(client->pending + at, ' ', bytes);
		at += bytes;
		if (!options->announced_bytes)
			at += (size_t)sprintf(client->pending + at, "\r\n");
		client->body_left -= bytes;
		if (size >= 4096)
			break;
	}
	if (client->body_left == 0 && client->finishes && !client->ended &&
	    !options->announced_bytes)
		at += (size_t)sprintf(client->pending + at, "0\r\n\r\n");
	client->ended = client->body_left == 0;
	client->pending_len = at;
}

static int connect_to(const char *address)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	char ip[32];
	unsigned int port;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (sscanf(address, "%31[^:]:%u", ip, &port) != 2 ||
	    inet_pton(AF_INET, ip, &to.sin_addr) != 1)
		return -1;
	to.sin_port = htons((uint16_t)port);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) && errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void close_client(struct client *client)
{
	if (client->fd >= 0)
		close(client->fd);
	client->fd = -1;
}

/* Sends one piece; returns true if bytes were taken. */
static bool send_piece(const struct crowd_options *options, struct client *client)
{
	ssize_t sent;

	if (client->pending_len == 0 && !client->ended)
		make_piece(options, client);
	if (client->pending_len == 0)
		return false;
	sent = send(client->fd, client->pending, client->pending_len, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
		close_client(client);
	if (sent <= 0)
		return false;
	client->pending_len -= (size_t)sent;
	memmove(client->pending, client->pending + sent, client->pending_len);
	return true;
}

static bool send_round(struct crowd *crowd)
{
	bool progress = false;

	for (uint32_t i = 0; i < crowd->options.clients; i++) {
		if (crowd->clients[i].fd >= 0)
			progress = send_piece(&crowd->options, &crowd->clients[i]) || progress;
	}
	return progress;
}

struct crowd *crowd_start(const char *address, const struct crowd_options *options)
{
	struct crowd *crowd = calloc(1, sizeof(*crowd));
	uint32_t idle_ms = 0;

	crowd->options = *options;
	crowd->clients = calloc(options->clients, sizeof(*crowd->clients));
	for (uint32_t i = 0; i < options->clients; i++) {
		struct client *client = &crowd->clients[i];

		client->finishes = options->finish_every && i % options->finish_every == 0;
		client->body_left = options->body_bytes - (client->finishes ? 0 : 1);
		client->fd = connect_to(address);
		make_header(options, client);
	}
	while (idle_ms < IDLE_MS) {
		if (send_round(crowd)) {
			idle_ms = 0;
			continue;
		}
		poll(NULL, 0, 10);
		idle_ms += 10;
	}
	return crowd;
}

void crowd_end(struct crowd *crowd)
{
	for (uint32_t i = 0; i < crowd->options.clients; i++) {
		close_client(&crowd->clients[i]);
		free(crowd->clients[i].pending);
	}
	free(crowd->clients);
	free(crowd);
}

uint64_t proc_peak_kb(pid_t pid)
{
	char path[64];
	char line[128];
	unsigned long long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (sscanf(line, "VmHWM: %llu", &kb) == 1)
			break;
	}
	if (file)
		fclose(file);
	return kb;
}

uint32_t proc_descriptors(pid_t pid)
{
	char path[64];
	uint32_t count = 0;
	DIR *folder;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	folder = opendir(path);
	while (folder && readdir(folder))
		count++;
	if (folder)
		closedir(folder);
	return count > 2 ? count - 2 : 0; /* "." and ".." */
}
