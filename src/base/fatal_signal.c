/**
 * @file fatal_signal.c
 * @brief Handlers of fatal signals.
 *
 * The build id, the load address and the unwinder are prepared at installation; the handler only copies bytes into a
 * fixed buffer and writes it. The line is written in two parts: first the data of the signal itself, then the return
 * addresses, because unwinding a damaged stack may itself fault.
 */
#include "base/fatal_signal.h"

#include <execinfo.h>
#include <link.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#include "base/event_log.h"

enum {
    LINE_MAX_BYTES = 2048,
    NODE_MAX = 64,
    REQUEST_MAX = 64,
    BUILD_MAX = 41,  /* 20 bytes of a build id in hexadecimal, and NUL */
    FRAMES_MAX = 32, /* return addresses shown; the daemon's stack usually has at most some 20 */
    /* Size of the alternate stack. Handlers of other libraries that use SA_ONSTACK run on it, too. */
    STACK_BYTES = 128 * 1024,
    NOTE_BUILD_ID = 3, /* NT_GNU_BUILD_ID */
    NOTE_ALIGNMENT = 4,
    MS_DIGITS = 3,
    HEX_BASE = 16,
    DECIMAL_BASE = 10,
    DIGITS_MAX = 24
};

typedef struct line {
    char   text[LINE_MAX_BYTES];
    size_t length;
} line_t;

#define FIELD_ROW(symbol, name) name,
static const char *const fields[] = {CW_EVENT_FIELD_TABLE(FIELD_ROW)};
#undef FIELD_ROW

static const int signals[] = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

static struct {
    char      node[NODE_MAX];
    char      request[REQUEST_MAX]; /* id of the current request; empty: none */
    char      build[BUILD_MAX];
    uintptr_t load_address;
    uintptr_t program_end; /* addresses from load_address up to this one belong to the program itself */
    line_t    line;
    char      stack[STACK_BYTES];
} state;

/* ---- composing the line; all of these functions are async-signal-safe ---- */

static void put_char(line_t *line, char byte)
{
    if (line->length < sizeof(line->text)) {
        line->text[line->length++] = byte;
    }
}

static void put_text(line_t *line, const char *text)
{
    for (; *text != '\0'; text++) {
        put_char(line, *text);
    }
}

static void put_digits(line_t *line, uint64_t value, uint64_t base, size_t digits_min)
{
    char   digits[DIGITS_MAX];
    size_t count = 0;

    do {
        digits[count++] = "0123456789abcdef"[value % base];
        value /= base;
    } while (value > 0 || count < digits_min);
    while (count > 0) {
        put_char(line, digits[--count]);
    }
}

static void put_hex(line_t *line, uint64_t value)
{
    put_text(line, "0x");
    put_digits(line, value, HEX_BASE, 1);
}

static void put_name(line_t *line, cw_event_field_t field)
{
    put_text(line, ",\"");
    put_text(line, fields[field]);
    put_text(line, "\":");
}

/* Quotes, backslashes and bytes that are not printable ASCII are replaced by question marks. */
static void put_quoted(line_t *line, const char *text)
{
    put_char(line, '"');
    for (; *text != '\0'; text++) {
        put_char(line, *text < ' ' || *text > '~' || *text == '"' || *text == '\\' ? '?' : *text);
    }
    put_char(line, '"');
}

static void put_quoted_hex(line_t *line, uint64_t value)
{
    put_char(line, '"');
    put_hex(line, value);
    put_char(line, '"');
}

/* An address of the program is written relative to its load address, as addr2line expects it; an address of a library
 * is written as it is, after an at sign. */
static void put_address(line_t *line, uintptr_t address)
{
    if (address >= state.load_address && address < state.program_end) {
        put_hex(line, address - state.load_address);
        return;
    }
    put_char(line, '@');
    put_hex(line, address);
}

static void write_line(line_t *line)
{
    const char *from = line->text;
    ssize_t     written;

    while (line->length > 0) {
        written = write(STDOUT_FILENO, from, line->length);
        if (written <= 0) {
            break; /* the reader of the log does not read: the handler cannot wait for it */
        }
        from += written;
        line->length -= (size_t)written;
    }
    line->length = 0;
}

/* ---- the handler ---- */

static const char *signal_name(int number)
{
    switch (number) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGABRT";
    }
}

static uintptr_t instruction_of(const ucontext_t *context)
{
#if defined(__x86_64__)
    return (uintptr_t)context->uc_mcontext.gregs[REG_RIP];
#elif defined(__aarch64__)
    return (uintptr_t)context->uc_mcontext.pc;
#else
    (void)context;
    return 0;
#endif
}

static void put_head(line_t *line, int number, const siginfo_t *information, const ucontext_t *context)
{
    struct timespec now = {0};

    (void)clock_gettime(CLOCK_REALTIME, &now);
    put_text(line, "{\"time\":");
    put_digits(line, (uint64_t)now.tv_sec, DECIMAL_BASE, 1);
    put_char(line, '.');
    put_digits(line, (uint64_t)now.tv_nsec / 1000000, DECIMAL_BASE, MS_DIGITS);
    put_text(line, ",\"node\":");
    put_quoted(line, state.node);
    put_text(line, ",\"event\":");
    put_quoted(line, cw_event_kind_name(CW_EVENT_FATAL_SIGNAL));
    put_name(line, CW_FIELD_SIGNAL);
    put_quoted(line, signal_name(number));
    if (information->si_code <= 0) { /* sent by a process, not caused by a fault: kill(2), raise(3), abort(3) */
        put_name(line, CW_FIELD_SENDER);
        put_digits(line, (uint64_t)information->si_pid, DECIMAL_BASE, 1);
    } else {
        put_name(line, CW_FIELD_ADDRESS);
        put_quoted_hex(line, (uint64_t)(uintptr_t)information->si_addr);
    }
    if (state.request[0] != '\0') {
        put_name(line, CW_FIELD_REQUEST);
        put_quoted(line, state.request);
    }
    put_name(line, CW_FIELD_BUILD);
    put_quoted(line, state.build);
    put_name(line, CW_FIELD_LOAD_ADDRESS);
    put_quoted_hex(line, state.load_address);
    put_name(line, CW_FIELD_TRACE);
    put_char(line, '"');
    put_address(line, instruction_of(context));
}

/* The callers of the interrupted function; the frames of the handler and of the kernel's trampoline are left out. */
static void put_frames(line_t *line, uintptr_t instruction)
{
    void *frames[FRAMES_MAX];
    int   count = backtrace(frames, FRAMES_MAX);
    int   first = 0;
    int   index;

    for (index = 0; index < count; index++) {
        if ((uintptr_t)frames[index] == instruction) {
            first = index + 1;
        }
    }
    for (index = first; index < count; index++) {
        put_char(line, ' ');
        put_address(line, (uintptr_t)frames[index]);
    }
}

/* SA_RESETHAND has restored the default action, so raise() at the end terminates the process: a fault would happen
 * again on return, but a signal that another process sent would not. */
static void on_fatal_signal(int number, siginfo_t *information, void *context)
{
    line_t *line = &state.line;

    cw_event_log_write_before_exit();
    line->length = 0;
    put_head(line, number, information, context);
    write_line(line);
    put_frames(line, instruction_of(context));
    put_text(line, "\"}\n");
    write_line(line);
    (void)raise(number);
}

/* ---- installation ---- */

static void read_build_id(const char *notes, size_t length)
{
    size_t offset = 0;

    while (offset + sizeof(ElfW(Nhdr)) <= length) {
        const ElfW(Nhdr) *note = (const void *)(notes + offset);
        size_t               name = (note->n_namesz + NOTE_ALIGNMENT - 1) / NOTE_ALIGNMENT * NOTE_ALIGNMENT;
        size_t               body = (note->n_descsz + NOTE_ALIGNMENT - 1) / NOTE_ALIGNMENT * NOTE_ALIGNMENT;
        const unsigned char *bytes = (const unsigned char *)notes + offset + sizeof(*note) + name;
        size_t               index;

        if (note->n_type == NOTE_BUILD_ID) {
            for (index = 0; index < note->n_descsz && 2 * index + 2 < sizeof(state.build); index++) {
                state.build[2 * index] = "0123456789abcdef"[bytes[index] / HEX_BASE];
                state.build[2 * index + 1] = "0123456789abcdef"[bytes[index] % HEX_BASE];
            }
            return;
        }
        offset += sizeof(*note) + name + body;
    }
}

/* The first object that dl_iterate_phdr passes is the program itself; the result 1 ends the iteration after it. */
static int on_object(struct dl_phdr_info *object, size_t size, void *context)
{
    int index;

    (void)size;
    (void)context;
    state.load_address = object->dlpi_addr;
    for (index = 0; index < object->dlpi_phnum; index++) {
        const ElfW(Phdr) *part = &object->dlpi_phdr[index];
        uintptr_t start = object->dlpi_addr + part->p_vaddr;

        if (part->p_type == PT_LOAD && start + part->p_memsz > state.program_end) {
            state.program_end = start + part->p_memsz;
        }
        if (part->p_type == PT_NOTE && state.build[0] == '\0') {
            read_build_id((const char *)start, part->p_memsz);
        }
    }
    return 1;
}

static void copy_bounded(char *to, const char *from, size_t size)
{
    size_t length = strnlen(from, size - 1);

    memcpy(to, from, length);
    to[length] = '\0';
}

void cw_fatal_signal_install(const char *node)
{
    stack_t          stack = {.ss_sp = state.stack, .ss_size = sizeof(state.stack)};
    struct sigaction action = {.sa_sigaction = on_fatal_signal};
    void            *frame;
    size_t           index;

    copy_bounded(state.node, node, sizeof(state.node));
    (void)dl_iterate_phdr(on_object, NULL);
    (void)backtrace(&frame, 1); /* loads the unwinder now, so that the handler does not allocate memory */
    action.sa_flags = SA_SIGINFO | (int)SA_RESETHAND;
    if (sigaltstack(&stack, NULL) == 0) {
        /* Without an alternate stack, every fault except a stack overflow is still reported. */
        action.sa_flags |= SA_ONSTACK;
    }
    sigemptyset(&action.sa_mask);
    for (index = 0; index < sizeof(signals) / sizeof(signals[0]); index++) {
        (void)sigaction(signals[index], &action, NULL);
    }
}

void cw_fatal_signal_set_request(const char *request_id)
{
    copy_bounded(state.request, request_id == NULL ? "" : request_id, sizeof(state.request));
}
