/**
 * @file faulty_server.c
 * @brief Stand-in of a server that hands out wrong bytes: it stands in front of a sound one (cw-server) and passes
 * everything on, but while it is in trouble it answers a share of what comes with bytes that are no answer of the
 * server, a page of another program (a status line, a length and a text; no X-Server-Signature, no X-Handover). What is
 * answered so is not carried out.
 *
 * faulty_server ADDRESS PORT SERVER_PORT KIND SHARE IDLE_MS SEED: listens at ADDRESS:PORT, for the server at
 * ADDRESS:SERVER_PORT. Closes connections that have rested for IDLE_MS. SIGUSR1 begins the trouble, SIGUSR2 ends it.
 *
 * KIND requests: SHARE of the clients' requests, as drawn. In every other page, as drawn, the X-Request-Id stands, as a
 * server's framework sets it before the work begins. Prints a line for each: the id, how many requests came before it
 * on its connection, and whether its id stood in it. KIND releases: releases of keys, as long as they are at most SHARE
 * of all answers since the trouble began. Prints a line for each: the steady time in seconds, and the release.
 *
 * KIND grants: no wrong bytes; the first grant in each trouble gets no answer and is handed to the server LATE_MS
 * later, on a connection of its own. Prints a line as it is read, and one with the server's answer: the steady time,
 * the grant.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
    PAIRS_MAX = 400,
    BYTES_MAX = 64 * 1024,
    ARGUMENTS = 8,
    WAIT_MS = 50,
    BACKLOG = 256,
    ID_MAX = 128,
    LATE_MS = 9000
};

/** A connection of a caller with that to the server. */
typedef struct pair {
    int    caller;
    int    server;
    size_t requests;
    bool   is_awaiting; /* an answer of the server */
    long   used_ms;
    size_t length; /* of the request as far as it has come */
    char   request[BYTES_MAX];
} pair_t;

static const char page[] = "<html><body><h1>It works!</h1></body></html>\r\n";

static pair_t               *pairs[PAIRS_MAX];
static size_t                pair_count;
static volatile sig_atomic_t in_trouble;
static unsigned long long    random_state;
static bool                  spoils_releases;
static bool                  keeps_grants;
static char                  kept[BYTES_MAX]; /* the grant that is kept; empty: none */
static long                  kept_ms;         /* when it was read */
static double                share;
static size_t                answers; /* since the trouble began */
static size_t                spoiled; /* of them */
static struct sockaddr_in    server_address;

static void on_signal(int number)
{
    in_trouble = number == SIGUSR1;
    answers = 0;
    spoiled = 0;
}

static long now_ms(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

static double draw(void)
{
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(random_state >> 33) / 2147483648.0;
}

static void close_pair(size_t index)
{
    close(pairs[index]->caller);
    close(pairs[index]->server);
    free(pairs[index]);
    pairs[index] = pairs[--pair_count];
}

static bool write_all(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t written = write(fd, bytes, length);

        if (written <= 0) {
            return false;
        }
        bytes += written;
        length -= (size_t)written;
    }
    return true;
}

static void accept_caller(int listener)
{
    int     caller = accept(listener, NULL, NULL);
    pair_t *pair = pair_count < PAIRS_MAX ? calloc(1, sizeof(*pair)) : NULL;

    if (caller < 0) {
        free(pair);
        return;
    }
    if (pair == NULL) {
        close(caller);
        return;
    }
    pair->caller = caller;
    pair->server = socket(AF_INET, SOCK_STREAM, 0);
    pair->used_ms = now_ms();
    if (pair->server < 0 || connect(pair->server, (struct sockaddr *)&server_address, sizeof(server_address)) != 0) {
        close(caller);
        close(pair->server);
        free(pair);
        return;
    }
    pairs[pair_count++] = pair;
}

/* The value of a field of the head; NULL: there is none. The text ends with the head. */
static const char *find_field(const char *head, const char *name)
{
    const char *line = strstr(head, "\r\n");

    for (; line != NULL; line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, strlen(name)) == 0 && line[2 + strlen(name)] == ':') {
            line += 2 + strlen(name) + 1;
            return line + strspn(line, " ");
        }
    }
    return NULL;
}

/* The length of the request that has come; 0: it is not whole. */
static size_t whole_length(pair_t *pair)
{
    const char *end;
    const char *stated;
    size_t      length;

    pair->request[pair->length] = '\0';
    end = strstr(pair->request, "\r\n\r\n");
    if (end == NULL) {
        return 0;
    }
    stated = find_field(pair->request, "Content-Length");
    length = (size_t)(end - pair->request) + strlen("\r\n\r\n");
    if (stated != NULL && stated < end) {
        length += strtoul(stated, NULL, 10);
    }
    return pair->length >= length ? length : 0;
}

static bool is_release_due(const pair_t *pair)
{
    bool is_release = strncmp(pair->request, "POST /api/release ", strlen("POST /api/release ")) == 0;

    return is_release && (double)(spoiled + 1) <= share * (double)answers;
}

static bool is_spoiled(const pair_t *pair)
{
    if (in_trouble == 0 || keeps_grants) {
        return false;
    }
    if (spoils_releases) {
        return is_release_due(pair);
    }
    return find_field(pair->request, "X-Request-Id") != NULL && draw() < share;
}

/* Writes the field X-Request-Id of the page, or nothing. Prints the line for a request. */
static void name_page(pair_t *pair, char *field, size_t size)
{
    const char *value = find_field(pair->request, "X-Request-Id");
    char        id[ID_MAX];
    bool        is_named = draw() < 0.5;

    snprintf(id, sizeof(id), "%.*s", (int)strcspn(value, "\r"), value);
    snprintf(field, size, "%s%s%s", is_named ? "X-Request-Id: " : "", is_named ? id : "", is_named ? "\r\n" : "");
    printf("%s %zu %s\n", id, pair->requests, is_named ? "named" : "unnamed");
}

/* Returns false if the pair has ended. */
static bool send_page(pair_t *pair)
{
    char field[2 * ID_MAX] = "";
    char head[4 * ID_MAX];

    spoiled++;
    answers++;
    if (spoils_releases) {
        printf("%.3f %s\n", (double)now_ms() / 1000, strstr(pair->request, "\r\n\r\n") + strlen("\r\n\r\n"));
    } else {
        name_page(pair, field, sizeof(field));
    }
    pair->requests++;
    snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n%sContent-Length: %zu\r\n\r\n", field,
             strlen(page));
    return write_all(pair->caller, head, strlen(head)) && write_all(pair->caller, page, strlen(page));
}

/* The number behind a name in the body. */
static long number_of(const char *body, const char *name)
{
    const char *found = strstr(body, name);

    return found != NULL ? strtol(found + strlen(name), NULL, 10) : -1;
}

/* Whether this is the grant that is kept. A grant of no keys is none. Prints its line. */
static bool keep_grant(const pair_t *pair, size_t length)
{
    bool is_grant = strncmp(pair->request, "POST /api/grant ", strlen("POST /api/grant ")) == 0 &&
                    number_of(pair->request, "\"last\":") >= number_of(pair->request, "\"from\":");

    if (in_trouble == 0 || !keeps_grants || !is_grant || spoiled > 0) {
        return false;
    }
    spoiled++;
    memcpy(kept, pair->request, length);
    kept[length] = '\0';
    kept_ms = now_ms();
    printf("%.3f read, not answered: %s\n", (double)kept_ms / 1000, strstr(kept, "\r\n\r\n") + strlen("\r\n\r\n"));
    return true;
}

/* Hands the grant that was kept to the server, and waits for its answer. */
static void hand_over_grant(void)
{
    char    answer[4 * ID_MAX] = "";
    ssize_t received = -1;
    int     server = socket(AF_INET, SOCK_STREAM, 0);

    if (server >= 0 && connect(server, (struct sockaddr *)&server_address, sizeof(server_address)) == 0 &&
        write_all(server, kept, strlen(kept))) {
        received = read(server, answer, sizeof(answer) - 1);
    }
    answer[received > 0 ? (size_t)received : 0] = '\0';
    answer[strcspn(answer, "\r")] = '\0';
    printf("%.3f taken, answer of the server: %s\n", (double)now_ms() / 1000, answer);
    close(server);
    kept[0] = '\0';
}

/* Returns false if the pair has ended. */
static bool handle_request(pair_t *pair)
{
    ssize_t received = read(pair->caller, pair->request + pair->length, sizeof(pair->request) - pair->length - 1);
    size_t  length;

    if (received <= 0) {
        return false;
    }
    pair->length += (size_t)received;
    length = whole_length(pair);
    if (length == 0) {
        return pair->length + 1 < sizeof(pair->request);
    }
    pair->length = 0; /* callers send one request at a time on a connection */
    if (keep_grant(pair, length)) {
        return true;
    }
    if (is_spoiled(pair)) {
        return send_page(pair);
    }
    pair->requests++;
    pair->is_awaiting = true;
    return write_all(pair->server, pair->request, length);
}

/* Returns false if the pair has ended. */
static bool handle_answer(pair_t *pair)
{
    static char bytes[BYTES_MAX];
    ssize_t     received = read(pair->server, bytes, sizeof(bytes));

    answers += pair->is_awaiting ? 1 : 0;
    pair->is_awaiting = false;
    return received > 0 && write_all(pair->caller, bytes, (size_t)received);
}

static bool serve(pair_t *pair, const struct pollfd *polled, long idle_ms)
{
    if (polled[0].revents != 0 || polled[1].revents != 0) {
        pair->used_ms = now_ms();
    }
    if (polled[1].revents != 0 && !handle_answer(pair)) {
        return false;
    }
    if (polled[0].revents != 0 && !handle_request(pair)) {
        return false;
    }
    return pair->is_awaiting || pair->length > 0 || now_ms() - pair->used_ms < idle_ms;
}

static int listen_at(const char *address, int port)
{
    struct sockaddr_in own = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    int                fd = socket(AF_INET, SOCK_STREAM, 0);
    int                on = 1;

    if (fd < 0 || inet_pton(AF_INET, address, &own.sin_addr) != 1) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return bind(fd, (struct sockaddr *)&own, sizeof(own)) == 0 && listen(fd, BACKLOG) == 0 ? fd : -1;
}

int main(int count, char **arguments)
{
    static struct pollfd polled[1 + 2 * PAIRS_MAX];
    int                  listener;
    long                 idle_ms;
    size_t               index;

    if (count != ARGUMENTS) {
        fprintf(stderr, "usage: faulty_server ADDRESS PORT SERVER_PORT requests|releases|grants SHARE IDLE_MS SEED\n");
        return EXIT_FAILURE;
    }
    listener = listen_at(arguments[1], (int)strtol(arguments[2], NULL, 10));
    server_address.sin_family = AF_INET;
    server_address.sin_port = htons((uint16_t)strtol(arguments[3], NULL, 10));
    inet_pton(AF_INET, arguments[1], &server_address.sin_addr);
    spoils_releases = strcmp(arguments[4], "releases") == 0;
    keeps_grants = strcmp(arguments[4], "grants") == 0;
    share = strtod(arguments[5], NULL);
    idle_ms = strtol(arguments[6], NULL, 10);
    random_state = strtoull(arguments[7], NULL, 10) * 7919 + 1;
    if (listener < 0) {
        perror("faulty_server");
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGUSR1, on_signal);
    signal(SIGUSR2, on_signal);
    setvbuf(stdout, NULL, _IOLBF, 0);
    for (;;) {
        polled[0] = (struct pollfd){.fd = listener, .events = POLLIN};
        for (index = 0; index < pair_count; index++) {
            polled[1 + 2 * index] = (struct pollfd){.fd = pairs[index]->caller, .events = POLLIN};
            polled[2 + 2 * index] = (struct pollfd){.fd = pairs[index]->server, .events = POLLIN};
        }
        if (poll(polled, 1 + 2 * pair_count, WAIT_MS) < 0 && errno != EINTR) {
            return EXIT_FAILURE;
        }
        /* From the last one on: one that ends is replaced by the last one, which has been served. */
        for (index = pair_count; index > 0; index--) {
            if (!serve(pairs[index - 1], &polled[2 * index - 1], idle_ms)) {
                close_pair(index - 1);
            }
        }
        if ((polled[0].revents & POLLIN) != 0) {
            accept_caller(listener);
        }
        if (kept[0] != '\0' && now_ms() - kept_ms >= LATE_MS) {
            hand_over_grant();
        }
    }
}
