/**
 * @file unreadable_relay.c
 * @brief Stand-in of a store that keeps entries whose bytes cannot be read. It relays connections to cw-store, which
 *        keeps readable text only, and replaces each MARK in the store's answers by as many bytes that are no text.
 *
 * Usage: unreadable-relay ADDRESS STORE-ADDRESS STORE-PORT. Prints "port N".
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { CHUNK_BYTES = 64 * 1024, BACKLOG = 256, NO_TEXT = 0xff };

static const char         mark[] = "UNREADABLE";
static struct sockaddr_in store;

/** One direction of a relayed connection. */
typedef struct direction {
    int  from;
    int  to;
    bool is_answer; /**< from the store */
} direction_t;

static bool send_all(int socket, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(socket, bytes, length, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
    return true;
}

/* Replaces the marks. Returns how many bytes at the end may be the beginning of a mark. */
static size_t replace_marks(char *bytes, size_t length)
{
    size_t mark_length = strlen(mark);
    size_t kept = length < mark_length - 1 ? length : mark_length - 1;
    char  *found = bytes;

    while ((found = memmem(found, length - (size_t)(found - bytes), mark, mark_length)) != NULL) {
        memset(found, NO_TEXT, mark_length);
    }
    while (kept > 0 && memcmp(bytes + length - kept, mark, kept) != 0) {
        kept--;
    }
    return kept;
}

static void relay(const direction_t *direction)
{
    char    bytes[CHUNK_BYTES];
    size_t  kept = 0; /* bytes at the beginning that were not sent yet */
    ssize_t received;

    while ((received = recv(direction->from, bytes + kept, sizeof(bytes) - kept, 0)) > 0) {
        size_t length = kept + (size_t)received;

        kept = direction->is_answer ? replace_marks(bytes, length) : 0;
        if (!send_all(direction->to, bytes, length - kept)) {
            break;
        }
        memmove(bytes, bytes + length - kept, kept);
    }
    (void)shutdown(direction->from, SHUT_RDWR);
    (void)shutdown(direction->to, SHUT_RDWR);
}

static void *relay_calls(void *data)
{
    relay(data);
    return NULL;
}

/* Relays both directions of one connection until it ends. */
static void *serve(void *data)
{
    int         caller = *(int *)data;
    int         upstream = socket(AF_INET, SOCK_STREAM, 0);
    int         on = 1;
    direction_t calls = {.from = caller, .to = upstream};
    direction_t answers = {.from = upstream, .to = caller, .is_answer = true};
    pthread_t   thread;

    free(data);
    (void)setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (upstream >= 0 && connect(upstream, (const struct sockaddr *)&store, sizeof(store)) == 0 &&
        setsockopt(upstream, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0 &&
        pthread_create(&thread, NULL, relay_calls, &calls) == 0) {
        relay(&answers);
        (void)pthread_join(thread, NULL);
    }
    if (upstream >= 0) {
        close(upstream);
    }
    close(caller);
    return NULL;
}

static int listen_at(const char *address)
{
    struct sockaddr_in place = {.sin_family = AF_INET};
    socklen_t          size = sizeof(place);
    int                listener = socket(AF_INET, SOCK_STREAM, 0);

    if (listener < 0 || inet_pton(AF_INET, address, &place.sin_addr) != 1 ||
        bind(listener, (const struct sockaddr *)&place, sizeof(place)) != 0 || listen(listener, BACKLOG) != 0 ||
        getsockname(listener, (struct sockaddr *)&place, &size) != 0) {
        return -1;
    }
    printf("port %u\n", ntohs(place.sin_port));
    fflush(stdout);
    return listener;
}

static bool serve_in_thread(int caller)
{
    int      *data = malloc(sizeof(*data));
    pthread_t thread;

    if (data == NULL) {
        return false;
    }
    *data = caller;
    if (pthread_create(&thread, NULL, serve, data) != 0) {
        free(data);
        return false;
    }
    return pthread_detach(thread) == 0;
}

int main(int argument_count, char **arguments)
{
    int listener;
    int caller;

    if (argument_count != 4) {
        fprintf(stderr, "usage: unreadable-relay ADDRESS STORE-ADDRESS STORE-PORT\n");
        return 2;
    }
    store.sin_family = AF_INET;
    store.sin_port = htons((uint16_t)strtoul(arguments[3], NULL, 10));
    if (inet_pton(AF_INET, arguments[2], &store.sin_addr) != 1) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    listener = listen_at(arguments[1]);
    while (listener >= 0 && (caller = accept(listener, NULL, NULL)) >= 0) {
        if (!serve_in_thread(caller)) {
            close(caller);
        }
    }
    return EXIT_FAILURE;
}
