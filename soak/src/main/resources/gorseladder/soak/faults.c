/*
 * A preloaded library that makes system calls of one process fail in ways that Linux documents, steps its wall clock, and
 * makes files below one folder fail. A control file, which another process writes while this one runs, sets what fails and
 * how often; without the file every call passes unchanged.
 *
 * GORSELADDER_FAULTS names the control file: an array of 64-bit integers, one per slot of the enum.
 * GORSELADDER_FAULTS_FOLDER names the folder whose files may fail. Rates are in thousandths of the calls.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
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

/* The build passes the constants of Preload.Fault as FAULT_SLOTS, so that the list of slots is defined only once. */
enum slot { FAULT_SLOTS, SLOTS };

#define MOST_FILES 65536
enum kind { UNKNOWN, SOCKET, FOLDER_FILE };

static volatile int64_t none[SLOTS];
static volatile int64_t *control = none;
static const char *folder;
static unsigned char kinds[MOST_FILES];
static volatile uint64_t state = 88172645463325252ULL;

#define REAL(name) \
  static __typeof__(&name) real_##name; \
  if (!real_##name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void begin(void) {
  const char *path = getenv("GORSELADDER_FAULTS");
  folder = getenv("GORSELADDER_FAULTS_FOLDER");
  int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
  if (fd < 0) return;
  void *at = mmap(NULL, SLOTS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  if (at == MAP_FAILED) return;
  control = at;
  state ^= (uint64_t)control[SEED] * 0x9e3779b97f4a7c15ULL;
}

/* Threads may race on the state, which makes the draws less even and does no other harm. */
static uint64_t draw(void) {
  uint64_t x = state;
  x ^= x << 13;
  x ^= x >> 7;
  x ^= x << 17;
  state = x;
  return x;
}

static int hit(enum slot rate) {
  int64_t of = control[rate];
  if (of <= 0 || (int64_t)(draw() % 1000) >= of) return 0;
  __sync_fetch_and_add(&control[INJECTED], 1);
  return 1;
}

static int fail(enum slot which) {
  errno = (int)control[which];
  return -1;
}

static void mark(int fd, enum kind kind) {
  if (fd >= 0 && fd < MOST_FILES) kinds[fd] = kind;
}

static int is(int fd, enum kind kind) { return fd >= 0 && fd < MOST_FILES && kinds[fd] == kind; }

static int below_folder(const char *path) {
  return folder && path && strncmp(path, folder, strlen(folder)) == 0;
}

/* ---- clocks */

int clock_gettime(clockid_t id, struct timespec *at) {
  REAL(clock_gettime);
  int result = real_clock_gettime(id, at);
  if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
    int64_t ms = control[WALL_OFFSET_MS];
    at->tv_sec += ms / 1000;
  }
  return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
  REAL(gettimeofday);
  int result = real_gettimeofday(at, zone);
  if (result == 0) at->tv_sec += control[WALL_OFFSET_MS] / 1000;
  return result;
}

time_t time(time_t *out) {
  struct timespec at;
  clock_gettime(CLOCK_REALTIME, &at);
  if (out) *out = at.tv_sec;
  return at.tv_sec;
}

/* ---- sockets */

int socket(int domain, int type, int protocol) {
  REAL(socket);
  if (hit(SOCKET_RATE)) return fail(SOCKET_ERRNO);
  int fd = real_socket(domain, type, protocol);
  mark(fd, SOCKET);
  return fd;
}

int accept(int fd, struct sockaddr *restrict from, socklen_t *restrict length) {
  REAL(accept);
  if (hit(ACCEPT_RATE)) return fail(ACCEPT_ERRNO);
  int accepted = real_accept(fd, from, length);
  mark(accepted, SOCKET);
  return accepted;
}

int accept4(int fd, struct sockaddr *restrict from, socklen_t *restrict length, int flags) {
  REAL(accept4);
  if (hit(ACCEPT_RATE)) return fail(ACCEPT_ERRNO);
  int accepted = real_accept4(fd, from, length, flags);
  mark(accepted, SOCKET);
  return accepted;
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
  REAL(connect);
  if (is(fd, SOCKET) && hit(CONNECT_RATE)) return fail(CONNECT_ERRNO);
  return real_connect(fd, to, length);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
  REAL(poll);
  if (hit(INTERRUPT_RATE)) {
    errno = EINTR;
    return -1;
  }
  return real_poll(fds, count, timeout);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
  REAL(epoll_wait);
  if (hit(INTERRUPT_RATE)) {
    errno = EINTR;
    return -1;
  }
  return real_epoll_wait(fd, events, most, timeout);
}

ssize_t read(int fd, void *to, size_t length) {
  REAL(read);
  if (is(fd, SOCKET)) {
    if (hit(BROKEN_RATE)) return fail(BROKEN_ERRNO);
    if (length > 1 && hit(SHORT_RATE)) length = 1 + draw() % (length - 1);
  }
  return real_read(fd, to, length);
}

ssize_t write(int fd, const void *from, size_t length) {
  REAL(write);
  if (is(fd, SOCKET)) {
    if (hit(BROKEN_RATE)) return fail(BROKEN_ERRNO);
    if (length > 1 && hit(SHORT_RATE)) length = 1 + draw() % (length - 1);
  } else if (is(fd, FOLDER_FILE) && hit(DISK_WRITE_RATE)) {
    /* Half of the data may reach the file, as on a disk that runs full. */
    if (length > 1 && draw() % 2) return real_write(fd, from, length / 2);
    return fail(DISK_ERRNO);
  }
  return real_write(fd, from, length);
}

/* ---- threads */

static volatile int64_t thread_starts;
static volatile int64_t thread_failed_at;

static int64_t monotonic_ms(void) {
  REAL(clock_gettime);
  struct timespec at;
  real_clock_gettime(CLOCK_MONOTONIC, &at);
  return at.tv_sec * 1000 + at.tv_nsec / 1000000;
}

/* True while thread starts fail: from start number THREAD_FROM on, for THREAD_FAILS_MS after the first failure. */
static int in_shortage(void) {
  int64_t number = __sync_add_and_fetch(&thread_starts, 1);
  if (control[THREAD_FROM] <= 0 || number < control[THREAD_FROM]) return 0;
  int64_t now = monotonic_ms();
  __sync_bool_compare_and_swap(&thread_failed_at, 0, now);
  if (now - thread_failed_at >= control[THREAD_FAILS_MS]) return 0;
  __sync_fetch_and_add(&control[INJECTED], 1);
  return 1;
}

int pthread_create(pthread_t *restrict thread, const pthread_attr_t *restrict how, void *(*run)(void *),
                   void *restrict with) {
  REAL(pthread_create);
  return in_shortage() || hit(THREAD_RATE) ? EAGAIN : real_pthread_create(thread, how, run, with);
}

/* ---- files below the folder */

static int note_file(int fd, const char *path) {
  mark(fd, below_folder(path) ? FOLDER_FILE : UNKNOWN);
  return fd;
}

/* In production the classes are in one archive that stays open; a test's class path opens a file for each class. */
static int holds_classes(const char *path) {
  const char *dot = path ? strrchr(path, '.') : NULL;
  return dot && (strcmp(dot, ".class") == 0 || strcmp(dot, ".jar") == 0);
}

#define OPENING(name) \
  int name(const char *path, int flags, ...) { \
    REAL(name); \
    va_list more; \
    va_start(more, flags); \
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0; \
    va_end(more); \
    if ((flags & O_CREAT) && below_folder(path) && hit(DISK_WRITE_RATE)) return fail(DISK_ERRNO); \
    if (!holds_classes(path) && hit(OPEN_RATE)) return fail(OPEN_ERRNO); \
    return note_file(real_##name(path, flags, mode), path); \
  }

OPENING(open)
OPENING(open64)

int close(int fd) {
  REAL(close);
  mark(fd, UNKNOWN);
  return real_close(fd);
}

int fsync(int fd) {
  REAL(fsync);
  return is(fd, FOLDER_FILE) && hit(DISK_SYNC_RATE) ? fail(DISK_ERRNO) : real_fsync(fd);
}

int fdatasync(int fd) {
  REAL(fdatasync);
  return is(fd, FOLDER_FILE) && hit(DISK_SYNC_RATE) ? fail(DISK_ERRNO) : real_fdatasync(fd);
}

int unlink(const char *path) {
  REAL(unlink);
  return below_folder(path) && hit(DISK_REMOVE_RATE) ? fail(DISK_ERRNO) : real_unlink(path);
}
