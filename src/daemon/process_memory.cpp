/** @file process_memory.cpp Memory of this process, as the kernel and the allocator count it. */
#include "daemon/process_memory_func.h"

#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace bilberry {

namespace {

/** @return Resident pages less those that are shared with files, from proc(5), "statm". */
std::size_t readResidentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    std::size_t shared = 0;
    if (!(file >> total >> resident >> shared) || shared > resident)
        return 0;
    return (resident - shared) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

ProcessMemory readProcessMemory()
{
    const struct mallinfo2 info = ::mallinfo2();
    return {readResidentBytes(), info.uordblks + info.hblkhd, info.fordblks};
}

} // namespace bilberry
