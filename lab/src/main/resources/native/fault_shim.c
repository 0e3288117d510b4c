/*
 * Preloaded into a process under test to step its wall clock and to inject system call failures and short reads and
 * writes, as set in a control block that the test changes while the process runs. Used by the laboratory only.
 *
 * FAULT_CONTROL is the path of the control file, of which 64 bytes are used: int64 clock offset in ms, int64 seed, then
 * uint32 rates per million calls: accept, socket, connect, wait interrupted, short read, short write, broken read,
 * file write, file sync.
 * FAULT_FOLDER is the folder whose files the last two rates apply to.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct control {
    volatile int64_t clock_offset_ms;
    volatile int64_t seed;
    volatile uint32_t accept, socket, connect, interrupted, short_read, short_write, broken_read, file_write, file_sync;
};

enum { MOST_DESCRIPTORS = 65536 };
enum kind { UNKNOWN = 0, STREAM = 1, WATCHED_FILE = 2 };

static struct control none;
static struct control *control = &none;
static char watched_folder[4096];
static unsigned char kinds[MOST_DESCRIPTORS];
static __thread uint64_t state;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FAULT_CONTROL");
    const char *folder = getenv("FAULT_FOLDER");
    int descriptor = path == NULL ? -1 : open(path, O_RDWR);
    if (descriptor >= 0) {
        void *mapped = mmap(NULL, 4096, PROT_READ, MAP_SHARED, descriptor, 0);
        control = mapped == MAP_FAILED ? &none : mapped;
        close(descriptor);
    }
    if (folder != NULL) {
        strncpy(watched_folder, folder, sizeof watched_folder - 1);
    }
}

#define REAL(name) ({ static __typeof__(&name) real; if (!real) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name); real; })

/* xorshift64*, seeded from the seed of the run and a thread-local address. */
static int happens(uint32_t per_million) {
    if (per_million == 0) {
        return 0;
    }
    if (state == 0) {
        state = (uint64_t) control->seed * 0x9E3779B97F4A7C15ULL ^ (uint64_t) (uintptr_t) &state ^ 1;
    }
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return (state * 0x2545F4914F6CDD1DULL >> 33) % 1000000 < per_million;
}

static int one_of(const int *codes, int count) {
    return codes[(state >> 20) % (uint64_t) count];
}

static int is(int descriptor, enum kind kind) {
    return descriptor >= 0 && descriptor < MOST_DESCRIPTORS && kinds[descriptor] == kind;
}

static int mark(int descriptor, enum kind kind) {
    if (descriptor >= 0 && descriptor < MOST_DESCRIPTORS) {
        kinds[descriptor] = kind;
    }
    return descriptor;
}

int clock_gettime(clockid_t clock, struct timespec *out) {
    int result = REAL(clock_gettime)(clock, out);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ms = control->clock_offset_ms;
        out->tv_sec += ms / 1000;
        out->tv_nsec += (ms % 1000) * 1000000;
        if (out->tv_nsec < 0) {
            out->tv_nsec += 1000000000;
            out->tv_sec--;
        } else if (out->tv_nsec >= 1000000000) {
            out->tv_nsec -= 1000000000;
            out->tv_sec++;
        }
    }
    return result;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone) {
    struct timespec now;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &now);
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out != NULL) {
        *out = now.tv_sec;
    }
    return now.tv_sec;
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
    static const int codes[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    if (happens(control->accept)) {
        errno = one_of(codes, 4);
        return -1;
    }
    return mark(REAL(accept)(descriptor, address, length), STREAM);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    static const int codes[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    if (happens(control->accept)) {
        errno = one_of(codes, 4);
        return -1;
    }
    return mark(REAL(accept4)(descriptor, address, length, flags), STREAM);
}

int socket(int domain, int type, int protocol) {
    static const int codes[] = {ENFILE, ENOBUFS};
    if (happens(control->socket)) {
        errno = one_of(codes, 2);
        return -1;
    }
    return mark(REAL(socket)(domain, type, protocol), (type & 0xf) == SOCK_STREAM ? STREAM : UNKNOWN);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static const int codes[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH};
    if (is(descriptor, STREAM) && happens(control->connect)) {
        errno = one_of(codes, 3);
        return -1;
    }
    return REAL(connect)(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    if (happens(control->interrupted)) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(descriptor, events, most, timeout);
}

ssize_t read(int descriptor, void *buffer, size_t size) {
    static const int codes[] = {ETIMEDOUT, EHOSTUNREACH};
    if (is(descriptor, STREAM) && happens(control->broken_read)) {
        errno = one_of(codes, 2);
        return -1;
    }
    if (is(descriptor, STREAM) && size > 1 && happens(control->short_read)) {
        size = 1 + size % 7;
    }
    return REAL(read)(descriptor, buffer, size);
}

static int file_write_fails(int descriptor) {
    static const int codes[] = {ENOSPC, EIO};
    if (is(descriptor, WATCHED_FILE) && happens(control->file_write)) {
        errno = one_of(codes, 2);
        return 1;
    }
    return 0;
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    if (file_write_fails(descriptor)) {
        return -1;
    }
    if (is(descriptor, STREAM) && size > 1 && happens(control->short_write)) {
        size = 1 + size / 3;
    }
    return REAL(write)(descriptor, buffer, size);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    if (file_write_fails(descriptor)) {
        return -1;
    }
    if (is(descriptor, STREAM) && count > 1 && happens(control->short_write)) {
        count = 1;
    }
    return REAL(writev)(descriptor, parts, count);
}

ssize_t pwrite64(int descriptor, const void *buffer, size_t size, off64_t offset) {
    return file_write_fails(descriptor) ? -1 : REAL(pwrite64)(descriptor, buffer, size, offset);
}

static int file_sync_fails(int descriptor) {
    if (is(descriptor, WATCHED_FILE) && happens(control->file_sync)) {
        errno = EIO;
        return 1;
    }
    return 0;
}

int fsync(int descriptor) {
    return file_sync_fails(descriptor) ? -1 : REAL(fsync)(descriptor);
}

int fdatasync(int descriptor) {
    return file_sync_fails(descriptor) ? -1 : REAL(fdatasync)(descriptor);
}

static int opened(int descriptor, const char *path) {
    int watched = watched_folder[0] != 0 && strncmp(path, watched_folder, strlen(watched_folder)) == 0;
    return mark(descriptor, watched ? WATCHED_FILE : UNKNOWN);
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    return opened(REAL(open64)(path, flags, mode), path);
}

int close(int descriptor) {
    mark(descriptor, UNKNOWN);
    return REAL(close)(descriptor);
}
