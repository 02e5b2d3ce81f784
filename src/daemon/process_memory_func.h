/** @file process_memory_func.h Memory of this process, as the kernel and the allocator count it. */
#pragma once

#include <cstddef>

namespace bilberry {

/** All in bytes. */
struct ProcessMemory
{
    std::size_t resident
        = 0; ///< Pages of the process in memory, without those of files; 0: not known.
    std::size_t allocated = 0; ///< Taken from the allocator and not given back to it.
    std::size_t freed = 0; ///< Given back to the allocator, which keeps them from the system.
};

ProcessMemory readProcessMemory();

} // namespace bilberry
